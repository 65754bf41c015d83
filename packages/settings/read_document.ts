import { Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import { parse, TomlError } from 'smol-toml'
import type { Finding } from './finding.ts'
import { locateKey } from './locate_key.ts'

/** Options for reading a document. */
export interface DocumentOptions {
  /** Name of the file or store object, used in findings. */
  readonly source: string
}

/**
 * Parses a TOML text and validates it against a schema.
 *
 * All findings are reported together. Keys that the schema does not define are findings too.
 *
 * @param text The TOML text to parse.
 * @param schema The schema of the document.
 * @param options The source of the document.
 * @returns The document, or all findings with their locations.
 *
 * @example
 * ```ts
 * const read = readDocument('port = 1', Schema.Struct({ port: Schema.Int }), { source: 'a.toml' })
 * console.log(read.isOk()) // true
 * ```
 */
export function readDocument<T> (
  text: string,
  schema: Schema.Codec<T, unknown>,
  options: DocumentOptions
): Result<T, readonly Finding[]> {
  const parsed = _parse(text, options)
  if (parsed.isErr()) return err(parsed.error)
  return checkDocument(parsed.value, schema, { ...options, text })
}

/** Options for validating a value. */
export interface CheckOptions extends DocumentOptions {
  /** TOML text that the value was parsed from, used to find line numbers. */
  readonly text?: string
  /**
   * Whether keys that the schema does not define are findings; `reported` by default. Use `ignored` for documents that
   * another program writes.
   */
  readonly unknownKeys?: 'reported' | 'ignored'
}

/**
 * Validates a value against a schema.
 *
 * @param value The value to validate.
 * @param schema The schema of the value; it must be synchronous.
 * @param options The source of the value and the handling of unknown keys.
 * @returns The typed value, or all findings with their locations.
 * @throws {TypeError} If the schema is asynchronous.
 *
 * @example
 * ```ts
 * const checked = checkDocument({ port: 'x' }, Schema.Struct({ port: Schema.Int }), { source: 'request' })
 * console.log(checked.isErr()) // true
 * ```
 */
export function checkDocument<T> (
  value: unknown,
  schema: Schema.Codec<T, unknown>,
  options: CheckOptions
): Result<T, readonly Finding[]> {
  const onExcessProperty = options.unknownKeys === 'ignored' ? 'ignore' : 'error'
  const checker = Schema.toStandardSchemaV1(schema, { parseOptions: { errors: 'all', onExcessProperty } })
  const result = checker['~standard'].validate(value)
  if (result instanceof Promise) throw new TypeError('Cannot check document: its schema is asynchronous; use a synchronous schema')
  if (result.issues === undefined) return ok(result.value)
  return err(result.issues.map((issue) => _toFinding(issue, options)))
}

function _parse (text: string, options: DocumentOptions): Result<unknown, readonly Finding[]> {
  try {
    return ok(parse(text))
  } catch (error) {
    const line = error instanceof TomlError ? error.line : undefined
    const message = error instanceof Error ? error.message.split('\n')[0] ?? '' : String(error)
    return err([{ source: options.source, line, path: '', message }])
  }
}

interface _Issue {
  readonly message: string
  readonly path?: ReadonlyArray<PropertyKey | { readonly key: PropertyKey }> | undefined
}

function _toFinding (issue: _Issue, options: CheckOptions): Finding {
  const path = (issue.path ?? []).map((part) => typeof part === 'object' ? part.key : part)
  return {
    source: options.source,
    line: options.text === undefined ? undefined : locateKey(options.text, path),
    path: path.map(String).join('.'),
    message: issue.message
  }
}
