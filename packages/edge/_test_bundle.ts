import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { promisify } from 'node:util'
import { parse } from 'smol-toml'

const ROOT = resolve(import.meta.dirname, '../..')
/** Folder into which the script builds. */
const TARGET = 'target'

interface DeployFile {
  readonly roles: { readonly entry: { readonly run: string } }
}

const DEPLOYED = parse(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')) as unknown as DeployFile
const WORDS = DEPLOYED.roles.entry.run.split(' ').slice(1)
const ENTRY = WORDS.find((word) => word.startsWith(`${TARGET}/`))?.slice(TARGET.length + 1) ?? ''

/** Options that the deploy file gives to Node. */
export const NODE_OPTIONS: readonly string[] = WORDS.filter((word) => word.startsWith('--'))

/** Bundles the program into a folder by the script that the deploy file names, and returns the path of the file that Node is to be given. */
export async function bundleProgram (folder: string): Promise<string> {
  const { scripts } = JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as { readonly scripts: { readonly bundle: string } }
  const { PATH = '' } = process.env
  await promisify(execFile)('sh', ['-c', scripts.bundle.replaceAll(`=${TARGET}/`, `=${folder}/`)], { cwd: ROOT, env: { ...process.env, PATH: `${join(ROOT, 'node_modules/.bin')}:${PATH}` } })
  return join(folder, ENTRY)
}
