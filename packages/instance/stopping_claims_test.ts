import { createServer, type Socket } from 'node:net'
import { HttpStore } from '@berylshed/platform'
import test from 'ava'
import { callInstance, startTestSystem, until } from './_test_system.ts'
import { SHARD_COUNT } from './_claim_operation.ts'

const APPROVE = '/services/approvals/approve'
const ANSWER_MS = 800
const TIMEOUT_MS = 60_000

test('a stop records the outcome of a call although the peer that records it gives no answer', async (t) => {
  t.timeout(TIMEOUT_MS)
  const system = await startTestSystem(2)
  t.teardown(() => system.standIns.close())
  for (const service of system.standIns.services.values()) service.faults.delayMs = ANSWER_MS
  await until(() => system.instances.every((instance) => instance.state().requests.instanceCount === 2))
  const holder = system.instances[0]?.state().placement.shard?.holder?.instance
  const [stopping, peer] = system.instances[0]?.state().self.name === holder ? [system.instances[1], system.instances[0]] : [system.instances[0], system.instances[1]]
  if (stopping === undefined || peer === undefined) return t.fail()
  const { hash } = stopping.state().requests
  const shardOf = (key: string): number => hash(`speech-desk/approvals/${key}`) % SHARD_COUNT
  const weightOf = (key: string, name: string): number => hash(`${shardOf(key)}\n${name}`)
  const keys = Array.from({ length: 100 }, (_, i) => `speech-${i}`)
  const key = keys.find((candidate) => weightOf(candidate, peer.state().self.name) > weightOf(candidate, stopping.state().self.name))
  if (key === undefined) return t.fail()

  const call = callInstance(stopping.httpPort, APPROVE, { body: { speech: 1 }, headers: { 'idempotency-key': key } })
  await until(() => [...system.standIns.services.values()].some((service) => service.runs.size > 0))
  await peer.close()
  const sockets: Socket[] = []
  const deaf = createServer((socket) => {
    sockets.push(socket.on('error', () => {}))
  })
  await new Promise<void>((resolve) => deaf.listen(peer.peerPort, '127.0.0.1', resolve))
  t.teardown(() => {
    deaf.close()
    for (const socket of sockets) socket.destroy()
  })
  const stopped = stopping.drain()
  t.is((await call).status, 200)
  await stopped
  const object = await new HttpStore(`http://${system.standIns.store.address}`).read(`claims/${shardOf(key)}`)
  const { claims } = JSON.parse(object._unsafeUnwrap().value) as { readonly claims: Readonly<Record<string, { readonly state: string }>> }
  t.is(claims[`speech-desk/approvals/${key}`]?.state, 'completed')
})
