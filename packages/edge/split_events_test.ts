import test from 'ava'
import fc from 'fast-check'
import { createEventSplitter } from './_split_events.ts'

test('events are emitted complete and in order wherever the stream is split', (t) => {
  const stream = Array.from({ length: 9 }, (_, i) => `id: ${i}\ndata: text ${i}\n\n`).join('')
  fc.assert(fc.property(fc.array(fc.nat(stream.length), { maxLength: 12 }), (cuts) => {
    const splitter = createEventSplitter()
    const bounds = [0, ...[...cuts].sort((a, b) => a - b), stream.length]
    const pieces = bounds.slice(1).map((end, i) => splitter.push(Buffer.from(stream.slice(bounds[i], end))))
    const out = pieces.map((piece) => piece?.bytes.toString() ?? '')
    return out.join('') === stream && out.every((piece) => piece === '' || piece.endsWith('\n\n')) && splitter.partialBytes() === 0
  }), { seed: 7 })
  t.pass()
})
