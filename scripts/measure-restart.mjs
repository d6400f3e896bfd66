// Restarts all controllers at once in virtual time, for several numbers of machines, and prints the cost of each restart:
//   npm run measure:restart [-- --machines 600,1200,2400,4000 --controllers 5 --seed N]
// Exits 1 if a rule was broken.
import { parseArgs } from 'node:util'
import { build } from 'esbuild'
import { shared } from './bundle.mjs'

const { values } = parseArgs({
	options: {
		machines: { type: 'string', default: '600,1200,2400,4000' },
		controllers: { type: 'string', default: '5' },
		seed: { type: 'string', default: '1' },
	},
})
await build({
	...shared,
	entryPoints: { 'mass-restart': 'packages/testkit/src/mass-restart.ts' },
	outdir: 'target',
	sourcemap: 'inline',
})
const { measureMassRestart } = await import(new URL('../target/mass-restart.cjs', import.meta.url).href)
const format = (value, digits) => (value === null ? '-' : value.toFixed(digits))
/** Columns of the table: heading, and a function that formats a result's cell. */
const columns = [
	['machines', (result) => String(result.machines)],
	['processor s', (result) => format(result.totalProcessorS, 2)],
	['busiest', (result) => format(result.busiestProcessorS, 2)],
	['peak in 1 s', (result) => format(result.peakProcessorS, 2)],
	['ms/machine', (result) => format((result.totalProcessorS * 1000) / result.machines, 2)],
	['MB', (result) => format(result.controllerMb, 1)],
	['messages/machine', (result) => format(result.messagesPerMachine, 1)],
	['writes/machine', (result) => format(result.writesPerMachine, 2)],
	['all answered s', (result) => format(result.allAnsweredS, 1)],
	['all running s', (result) => format(result.allRunningS, 1)],
	['running at the end', (result) => format(result.runningShare, 3)],
]
const row = (texts) => `${texts.map((text, index) => text.padStart(columns[index][0].length)).join('  ')}\n`
process.stdout.write(row(columns.map(([heading]) => heading)))
let isBroken = false
for (const machines of values.machines.split(',').map(Number)) {
	const result = await measureMassRestart({
		machines,
		controllers: Number(values.controllers),
		seed: Number(values.seed),
	})
	process.stdout.write(row(columns.map(([, text]) => text(result))))
	for (const violation of result.violations.slice(0, 5)) process.stderr.write(`${violation}\n`)
	isBroken ||= result.violations.length > 0
}
process.exit(isBroken ? 1 : 0)
