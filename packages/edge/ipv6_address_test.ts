import test from 'ava'
import { buildProgram, freePorts, settingsText, startProgram } from './_test_program.ts'
import { startTestStore } from './_test_store.ts'

const EXIT_FAILED = 1

// The platform has IPv4 only; an address that this program cannot read must not look like one that it serves.
for (const name of ['Front', 'Ready', 'Control'] as const) {
  test(`an address of IPv6 for ${name} ends the start with a line that names it`, async (t) => {
    const [ports, store] = [await freePorts(), await startTestStore()]
    t.teardown(store.close)
    const settings = JSON.parse(settingsText(ports, store.address)) as { readonly Listen: Readonly<Record<string, string>> }
    const address = `[::1]:${ports.front}`
    const program = startProgram(t, await buildProgram(t, JSON.stringify({ ...settings, Listen: { ...settings.Listen, [name]: address } })))
    const end = await program.ended
    t.log(Math.round(end.afterMs), end.code, program.lines().map((line) => JSON.stringify(line).slice(0, 300)))
    t.like(end, { code: EXIT_FAILED, signal: null })
    t.true(String(program.lines().find(({ what }) => what === 'start_failed')?.['reason']).includes(`Cannot listen at ${address}`))
    t.like(program.lines().at(-1), { what: 'ended', code: EXIT_FAILED })
  })
}
