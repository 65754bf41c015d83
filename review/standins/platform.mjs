import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'

const ROOT = resolve(import.meta.dirname, '../..')
const RESTART_DELAY_MS = 500
const READY_POLL_MS = 250
const FIRST_PORT = 20_000
const PORT_PAIRS = 6000

function listen (port) {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}

// Returns the first of two consecutive ports that are free, below those that the system gives to outgoing connections.
async function freePair (taken) {
  for (;;) {
    const port = FIRST_PORT + 2 * Math.floor(Math.random() * PORT_PAIRS)
    const servers = await Promise.all([port, port + 1].map((number) => listen(number).catch(() => undefined)))
    await Promise.all(servers.map((server) => server === undefined ? undefined : new Promise((resolve) => server.close(resolve))))
    if (taken.has(port) || servers.some((server) => server === undefined)) continue
    taken.add(port)
    return port
  }
}

// The command of the deploy file, split at spaces as the platform does.
function runCommand () {
  const line = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').split('\n').find((text) => text.startsWith('run = '))
  return JSON.parse(line.slice('run = '.length)).split(' ')
}

const BOUNDS = {
  SeedLagS: 3, ReuseAfterS: 2, ContactMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RevertMs: 250, OuterMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 54, RecoveryS: 12, PassMs: 120, RetryAfterS: 0, FencingEnforced: true, LeaseMs: 3000, ThawMs: 300, CeilingWindowS: 5, CeilingOverrun: 1.1
}

/** Starts entry instances of the system as the platform does, and starts one again that ends by itself. */
export async function startInstances ({ count, store, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const ports = []
  const taken = new Set()
  for (let i = 0; i < count; i += 1) ports.push([await freePair(taken), await freePair(taken), await freePair(taken)])
  const seeds = ports.slice(0, 3).map(([, control]) => `127.0.0.1:${control}`)
  let stopping = false
  const instances = ports.map(([front, control, internal], i) => {
    const name = `edge-bayern-a-${i + 1}`
    const file = join(folder, `${name}.json`)
    writeFileSync(file, JSON.stringify({
      NodeName: name, Role: 'entry', MachineClass: 'edge', Serves: ['edge', 'control_plane'], Ip: '127.0.0.1', Zone: 'bayern-a', Region: 'bayern', Zones: { 'bayern-a': 'bayern' }, Listen: { Front: `127.0.0.1:${front}`, Ready: `127.0.0.1:${front + 1}`, Control: `127.0.0.1:${control}` }, InternalPorts: [internal, internal + 1], Seeds: seeds, Bootstrap: true, FaultCounted: false, Limits: { CpuShare: 1, Cores: 1, MemoryMb: 480, MaxFds: 6300, LinkMbps: 1500, DiskMb: 0 }, DataDir: null, Discovery: 'platform', Entry: 'vip', HeartbeatMs: 1200, Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'], FaultTolerance: { Machines: 1, Zones: 0, Regions: 0 }, Bounds: BOUNDS, Platform: { Address: store.address, form: 'objects', WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, MinTtlMs: 1000 }
    }))
    return { name, front, readyPort: front + 1, file, child: undefined, ended: undefined, ownEnds: 0, stoppedByTest: false, log: '' }
  })

  function start (instance) {
    const [program, ...words] = runCommand()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, words, { cwd: ROOT, env: { PATH, HOME, LANG, BERYLSHED_SETTINGS: instance.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    instance.child = child
    record.write(instance.name, 'process started', { pid: child.pid })
    child.stdout.on('data', (chunk) => { instance.log += chunk.toString() })
    child.stderr.on('data', (chunk) => {
      instance.log += chunk.toString()
      record.write(instance.name, 'writes', { stderr: JSON.stringify(chunk.toString().replaceAll(ROOT, '.').slice(0, 600)) })
    })
    instance.ended = new Promise((resolve) => child.on('exit', (code, signal) => {
      record.write(instance.name, 'process ended', { code, signal })
      resolve()
      if (stopping || instance.stoppedByTest) return
      instance.ownEnds += 1
      setTimeout(() => { if (!stopping) start(instance) }, RESTART_DELAY_MS)
    }))
  }

  const status = (instance) => new Promise((resolve) => {
    const request = get({ host: '127.0.0.1', port: instance.readyPort, path: '/readyz', timeout: 1000, agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })

  async function allReady (withinMs) {
    const endMs = performance.now() + withinMs
    for (const instance of instances) {
      while (await status(instance) !== 200) {
        if (performance.now() > endMs) return false
        await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS))
      }
      record.write(instance.name, 'ready')
    }
    return true
  }

  async function stop () {
    stopping = true
    for (const { child } of instances) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(instances.map(({ ended }) => ended))
    rmSync(folder, { recursive: true, force: true })
  }

  // Ends a process as the platform does: SIGTERM, then SIGKILL after `GraceS`.
  async function terminate (instance) {
    instance.stoppedByTest = true
    record.write('platform', 'SIGTERM', { to: instance.name })
    const { child } = instance
    child.kill('SIGTERM')
    const timer = setTimeout(() => child.kill('SIGKILL'), BOUNDS.GraceS * 1000)
    await instance.ended
    clearTimeout(timer)
  }

  for (const instance of instances) start(instance)
  return { instances, allReady, stop, terminate, start, status }
}
