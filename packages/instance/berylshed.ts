#!/usr/bin/env node
import { readFile } from 'node:fs/promises'
import { dirname, resolve } from 'node:path'
import { ConfigurationSchema, findProblems, type ConfigurationDocument } from '@berylshed/configuration'
import { HttpStore } from '@berylshed/platform'
import { formatFinding, readDocument, readSettings, type Finding, type Settings } from '@berylshed/settings'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { handleSignals } from './_handle_signals.ts'
import { runInstance, type RunningInstance } from './run_instance.ts'
import { startStandIns, type StandIns } from './start_stand_ins.ts'

const EXIT_FINDINGS = 2
const DEFAULT_FILE = 'examples/redenwerk.toml'
/** API key of the customer in the example deployments. */
const EXAMPLE_KEY = 'example-key-0000000000'

function exitWithFindings (findings: readonly Finding[]): never {
  for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
  process.exit(EXIT_FINDINGS)
}

async function loadSettings (file: string): Promise<Settings> {
  const text = await readFile(file, 'utf8')
  const settings = readSettings(text, { source: file })
  return settings.isOk() ? settings.value : exitWithFindings(settings.error)
}

async function loadDeployment (file: string, settings: Settings): Promise<ConfigurationDocument> {
  const { stand_ins: standIns } = settings
  if (standIns === undefined) return exitWithFindings([{ source: file, line: undefined, path: 'stand_ins', message: 'Missing table; name a deployment' }])
  const path = resolve(dirname(file), standIns.deployment)
  const document = readDocument(await readFile(path, 'utf8'), ConfigurationSchema, { source: path })
  if (document.isErr()) return exitWithFindings(document.error)
  const problems = findProblems(document.value, path)
  return problems.length === 0 ? document.value : exitWithFindings(problems)
}

function describe (settings: Settings, instance: RunningInstance): string {
  const at = (port: number): string => `http://${settings.instance.address}:${port}`
  return [
    `instance ${settings.instance.name} in ${settings.instance.availability_zone}`,
    `  callers    ${at(instance.httpPort)}`,
    `  peers      ${at(instance.peerPort)}`,
    `  operators  ${at(instance.adminPort)}`
  ].join('\n')
}

function describeStandIns (standIns: StandIns): string {
  const upstreams = standIns.document.upstreams.map((upstream) => `  ${upstream.kind.padEnd(9)}  ${upstream.name} at ${upstream.address}`)
  return [`stand-ins\n  store      ${standIns.store.address}`, ...upstreams].join('\n')
}

function exampleCall (settings: Settings, instance: RunningInstance, standIns: StandIns): string {
  const model = standIns.document.models[0]?.name ?? ''
  return [
    'try',
    `  curl -N http://${settings.instance.address}:${instance.httpPort}/v1/chat/completions \\`,
    `    -H 'authorization: Bearer ${EXAMPLE_KEY}' -H 'content-type: application/json' \\`,
    `    -d '{"model":"${model}","stream":true,"messages":[{"role":"user","content":"A toast to the old works"}]}'`
  ].join('\n')
}

function createStore (settings: Settings): HttpStore {
  return new HttpStore(settings.store.address, { timeoutMs: settings.store.timeout_ms })
}

async function serve (file: string, seeds: readonly string[]): Promise<void> {
  const stopOnSignal = handleSignals()
  const settings = await loadSettings(file)
  const instance = await runInstance(settings, { store: createStore(settings), seeds })
  process.stdout.write(`${describe(settings, instance)}\n`)
  stopOnSignal(() => instance.drain())
}

async function demo (file: string): Promise<void> {
  const stopOnSignal = handleSignals()
  const settings = await loadSettings(file)
  const document = await loadDeployment(file, settings)
  const standIns = await startStandIns(document, { storePort: settings.stand_ins?.store_port ?? 0 })
  const instance = await runInstance(settings, { store: new HttpStore(`http://${standIns.store.address}`) })
  process.stdout.write(`${describeStandIns(standIns)}\n${describe(settings, instance)}\n${exampleCall(settings, instance, standIns)}\n`)
  stopOnSignal(async () => {
    await instance.drain()
    await standIns.close()
  })
}

async function runStandIns (file: string): Promise<void> {
  const stopOnSignal = handleSignals()
  const settings = await loadSettings(file)
  const standIns = await startStandIns(await loadDeployment(file, settings), { storePort: settings.stand_ins?.store_port ?? 0 })
  process.stdout.write(`${describeStandIns(standIns)}\n`)
  stopOnSignal(() => standIns.close())
}

async function check (file: string): Promise<void> {
  const settings = await loadSettings(file)
  if (settings.stand_ins !== undefined) await loadDeployment(file, settings)
  process.stdout.write(`${file}: no findings\n`)
}

await yargs(hideBin(process.argv))
  .scriptName('berylshed')
  .command('serve <file>', 'Run an entry instance', (command) => command
    .positional('file', { type: 'string', demandOption: true, describe: 'Settings in TOML' })
    .option('seed', { type: 'string', array: true, default: [], describe: 'Address of a peer, repeatable' }),
  (argv) => serve(argv.file, argv.seed))
  .command('check <file>', 'Check settings and print every finding', (command) => command
    .positional('file', { type: 'string', demandOption: true, describe: 'Settings in TOML' }),
  (argv) => check(argv.file))
  .command('demo [file]', 'Run an entry instance with embedded stand-ins', (command) => command
    .positional('file', { type: 'string', default: DEFAULT_FILE, describe: 'Settings in TOML' }),
  (argv) => demo(argv.file))
  .command('stand-ins <file>', false, (command) => command
    .positional('file', { type: 'string', demandOption: true, describe: 'Settings in TOML' }),
  (argv) => runStandIns(argv.file))
  .demandCommand(1, 'Cannot run: no command given; see berylshed --help')
  .strict()
  .completion()
  .parseAsync()
