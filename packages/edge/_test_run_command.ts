import { readFile } from 'node:fs/promises'
import { join, resolve } from 'node:path'
import { parse } from 'smol-toml'

const DEPLOY_FILE = resolve(import.meta.dirname, '../../deploy/system.toml')
const TARGET = 'target/'

/** A program, its arguments and its own variables. */
export interface RunCommand {
  readonly program: string
  readonly args: readonly string[]
  readonly env: Readonly<Record<string, string>>
}

// Fills in the plain placeholders of a word; the deploy file uses no others.
function fillIn (word: string, settings: object): string {
  return word.replaceAll(/\{\{([\w.]+)\}\}/g, (_, path: string) => String(path.split('.').reduce<unknown>((value, key) => (value as Record<string, unknown> | undefined)?.[key], settings) ?? ''))
}

/** Returns what the deploy file runs on entry instances, with the build's folder at another place. */
export async function readRunCommand (targetFolder: string, settings: object): Promise<RunCommand> {
  const { roles } = parse(await readFile(DEPLOY_FILE, 'utf8')) as unknown as { readonly roles: { readonly entry: { readonly run: string, readonly env?: Readonly<Record<string, string>> } } }
  const [program = '', ...args] = roles.entry.run.split(' ').map((word) => fillIn(word, settings)).map((word) => word.startsWith(TARGET) ? join(targetFolder, word.slice(TARGET.length)) : word)
  const env = Object.fromEntries(Object.entries(roles.entry.env ?? {}).map(([name, text]) => [name, fillIn(text, settings)]))
  return { program: program === 'node' ? process.execPath : program, args, env }
}
