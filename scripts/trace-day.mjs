// Plays one day with the bundle that trace-days.mjs made, in a process of its own: node scripts/trace-day.mjs KIND SEED [FILE]
// Prints the digest of its messages as JSON; writes the messages as lines of text to FILE, if one is given.
import { closeSync, openSync, writeSync } from 'node:fs'

const { traceDay } = await import(new URL('../target/trace.cjs', import.meta.url).href)
const [kind, seed, file] = process.argv.slice(2)
const output = file === undefined ? null : openSync(file, 'w')
const dump = output === null ? null : (line) => writeSync(output, `${line}\n`)
const digest = await traceDay(Number(seed), kind, dump)
if (output !== null) closeSync(output)
// Ends here, whatever timers the day left behind.
process.stdout.write(`${JSON.stringify(digest)}\n`, () => process.exit(0))
