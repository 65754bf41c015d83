#!/usr/bin/env node
import { readFile } from 'node:fs/promises'
import { ConfigurationSchema } from '@berylshed/configuration'
import { formatTrace, POLICY_NAMES } from '@berylshed/replay'
import { formatFinding, readDocument, type Finding } from '@berylshed/settings'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { callAdmin, type AdminCall, type AdminTarget } from './admin_client.ts'
import { EXIT_CODE, type ExitCode } from './exit_code.ts'
import { formatFailure } from './format_failure.ts'
import { formatTable } from './format_table.ts'
import { runReplay, runTrace } from './replay_command.ts'

const POLL_INTERVAL_MS = 200

interface CommandOptions extends AdminTarget {
  readonly json: boolean
}

function setExitCode (code: ExitCode): void {
  process.exitCode = code
}

function printValue (value: unknown, json: boolean): void {
  if (json) process.stdout.write(`${JSON.stringify(value)}\n`)
  else if (Array.isArray(value)) process.stdout.write(formatTable(value))
  else process.stdout.write(formatTable(Object.entries(value as object).map(([name, property]) => ({ name, value: property }))))
}

function printFindings (findings: readonly Finding[]): void {
  for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
  setExitCode(EXIT_CODE.findings)
}

async function callAndPrint (options: CommandOptions, call: AdminCall): Promise<void> {
  const answer = await callAdmin(options, call)
  if (answer.isOk()) return printValue(answer.value, options.json)
  process.stderr.write(formatFailure(answer.error, options.json))
  setExitCode(answer.error.exitCode)
}

async function readDocumentJson (file: string): Promise<string | undefined> {
  const document = readDocument(await readFile(file, 'utf8'), ConfigurationSchema, { source: file })
  if (document.isOk()) return JSON.stringify(document.value)
  printFindings(document.error)
  return undefined
}

async function preview (options: CommandOptions, file: string): Promise<void> {
  const body = await readDocumentJson(file)
  if (body !== undefined) await callAndPrint(options, { method: 'POST', path: '/configuration/preview', body })
}

async function apply (options: CommandOptions, file: string, baseVersion: number): Promise<void> {
  const body = await readDocumentJson(file)
  if (body !== undefined) await callAndPrint(options, { method: 'PUT', path: `/configuration?version=${baseVersion}`, body })
}

async function waitUntilInForce (options: CommandOptions, version: number, timeoutMs: number): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs
  while (performance.now() < deadlineMs) {
    const answer = await callAdmin(options, { method: 'GET', path: '/configuration/in-force' })
    const versions = answer.isOk() ? answer.value as ReadonlyArray<{ readonly version: number }> : []
    if (versions.length > 0 && versions.every(({ version: current }) => current >= version)) return printValue(versions, options.json)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  process.stderr.write(`Cannot confirm that version ${version} is in force at every instance within ${timeoutMs} ms; run berylctl status\n`)
  setExitCode(EXIT_CODE.failed)
}

await yargs(hideBin(process.argv))
  .scriptName('berylctl')
  .option('address', { type: 'string', default: 'http://127.0.0.1:8100', describe: 'Admin address of an instance' })
  .option('key', { type: 'string', default: process.env.BERYLCTL_KEY ?? '', describe: 'Operator key; defaults to BERYLCTL_KEY' })
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
  .command('status', "Show an instance's state", (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/status' }))
  .command('models', 'Show models and their replicas', (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/models' }))
  .command('upstreams', 'Show upstreams and their memory', (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/upstreams' }))
  .command('customers', 'Show customers with their templates resolved', (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/customers' }))
  .command('templates', 'Show templates', (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/templates' }))
  .command('explain <model>', 'Explain why a model is loaded or not loaded', (command) => command
    .positional('model', { type: 'string', demandOption: true }),
  (argv) => callAndPrint(argv, { method: 'GET', path: `/explain/${encodeURIComponent(argv.model)}` }))
  .command('configuration', 'Show the configuration in force', (command) => command, (argv) => callAndPrint(argv, { method: 'GET', path: '/configuration' }))
  .command('preview <file>', 'Show which customers a configuration would change', (command) => command
    .positional('file', { type: 'string', demandOption: true }),
  (argv) => preview(argv, argv.file))
  .command('apply <file>', 'Apply a configuration based on a given version', (command) => command
    .positional('file', { type: 'string', demandOption: true })
    .option('seen', { type: 'number', demandOption: true, describe: 'Version on which the change is based' }),
  (argv) => apply(argv, argv.file, argv.seen))
  .command('wait <wanted>', 'Wait until a version is in force at every live instance', (command) => command
    .positional('wanted', { type: 'number', demandOption: true })
    .option('timeout-ms', { type: 'number', default: 6000 }),
  (argv) => waitUntilInForce(argv, argv.wanted, argv.timeoutMs))
  .command('replay <trace>', 'Replay a trace and print cold starts and idle accelerator hours', (command) => command
    .positional('trace', { type: 'string', demandOption: true })
    .option('settings', { type: 'string', demandOption: true, describe: 'Settings file that names the deployment' })
    .option('policy', { choices: POLICY_NAMES, default: 'expected-cost' as const }),
  async (argv) => (await runReplay(argv)).match((figures) => printValue(figures, argv.json), printFindings))
  .command('trace', 'Generate a trace', (command) => command
    .option('settings', { type: 'string', demandOption: true, describe: 'Settings file that names the deployment' })
    .option('days', { type: 'number', default: 1 })
    .option('seed', { type: 'number', default: 41 }),
  async (argv) => (await runTrace(argv)).match((trace) => { process.stdout.write(formatTrace(trace)) }, printFindings))
  .demandCommand(1, 'Cannot run: no command given; run berylctl --help')
  .strict()
  .completion()
  .fail((message, error) => {
    process.stderr.write(`${message ?? error.message}\n`)
    process.exit(EXIT_CODE.findings)
  })
  .parseAsync()
