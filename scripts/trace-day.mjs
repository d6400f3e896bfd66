// Runs one simulated day in its own process, with the bundle that trace-days.mjs builds:
//   node scripts/trace-day.mjs KIND SEED [FILE]
// Prints the digest of the day's messages as JSON, and writes the messages as lines of text to FILE if it is given.
import { closeSync, openSync, writeSync } from 'node:fs'

const { traceDay } = await import(new URL('../target/trace.cjs', import.meta.url).href)
const [kind, seed, file] = process.argv.slice(2)
const output = file === undefined ? null : openSync(file, 'w')
const dump = output === null ? null : (line) => writeSync(output, `${line}\n`)
const digest = await traceDay(Number(seed), kind, dump)
if (output !== null) closeSync(output)
// Exits even if the day left timers running.
process.stdout.write(`${JSON.stringify(digest)}\n`, () => process.exit(0))
