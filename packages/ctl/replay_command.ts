import { readFile } from 'node:fs/promises'
import { dirname, resolve } from 'node:path'
import { ConfigurationSchema, findProblems, resolveCustomer, type ConfigurationDocument } from '@berylshed/configuration'
import { createPolicy, generateTrace, readTrace, replayTrace, type PolicyName, type ReplaySummary, type TraceRequest } from '@berylshed/replay'
import { readDocument, readSettings, type Finding, type Settings } from '@berylshed/settings'
import { err, ok, type Result } from 'neverthrow'

interface _ReplayInputs {
  readonly settings: Settings
  readonly document: ConfigurationDocument
}

/** Options of the `replay` command. */
export interface ReplayCommand {
  /** Path of the trace file. */
  readonly trace: string
  /** Path of the settings file. */
  readonly settings: string
  readonly policy: PolicyName
}

/**
 * Replays a trace file on the deployment named in a settings file.
 *
 * @param command The paths of the files and the policy.
 * @returns The summary of the replay, or all findings in the files.
 *
 * @example
 * ```ts
 * const summary = await runReplay({ trace: 'week.jsonl', settings: 'examples/redenwerk.toml', policy: 'expected-cost' })
 * ```
 */
export async function runReplay (command: ReplayCommand): Promise<Result<ReplaySummary, readonly Finding[]>> {
  const loaded = await _readInputs(command.settings)
  if (loaded.isErr()) return err(loaded.error)
  const trace = readTrace(await readFile(command.trace, 'utf8'), { source: command.trace })
  if (trace.isErr()) return err(trace.error)
  const { settings, document } = loaded.value
  const policy = createPolicy(command.policy, trace.value, document)
  return ok(replayTrace(trace.value, { document, settings, policy }))
}

/** Options of the `trace` command. */
export interface TraceCommand {
  /** Path of the settings file. */
  readonly settings: string
  readonly days: number
  readonly seed: number
}

/**
 * Generates a trace for the deployment named in a settings file.
 *
 * @param command The path of the settings file, the duration in days and the seed.
 * @returns The trace, or all findings in the files.
 *
 * @example
 * ```ts
 * const trace = await runTrace({ settings: 'examples/plamak.toml', days: 1, seed: 41 })
 * ```
 */
export async function runTrace (command: TraceCommand): Promise<Result<readonly TraceRequest[], readonly Finding[]>> {
  const loaded = await _readInputs(command.settings)
  return loaded.map(({ document }) => generateTrace(document, { seed: command.seed, days: command.days, customers: _resolveCustomers(document) }))
}

function _resolveCustomers (document: ConfigurationDocument): ReadonlyArray<{ readonly name: string, readonly deadlineMs: number }> {
  return document.customers.flatMap((customer) => {
    const template = document.templates.find((candidate) => candidate.name === customer.template)
    return template === undefined ? [] : resolveCustomer(customer, template).match((resolved) => [resolved], () => [])
  })
}

async function _readInputs (file: string): Promise<Result<_ReplayInputs, readonly Finding[]>> {
  const settings = readSettings(await readFile(file, 'utf8'), { source: file })
  if (settings.isErr()) return err(settings.error)
  const deployment = settings.value.stand_ins?.deployment
  if (deployment === undefined) return err([{ source: file, line: undefined, path: 'stand_ins', message: 'Missing table; set its "deployment" to the path of a deployment file' }])
  const path = resolve(dirname(file), deployment)
  return readDocument(await readFile(path, 'utf8'), ConfigurationSchema, { source: path }).andThen((document) => {
    const problems = findProblems(document, path)
    return problems.length === 0 ? ok({ settings: settings.value, document }) : err(problems)
  })
}
