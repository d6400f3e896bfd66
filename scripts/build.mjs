// Bundles the service into target/: main.cjs, and the bundles that it loads on demand. --demo: the demo instead.
//   node scripts/build.mjs [--demo]
import { build } from 'esbuild'
import { program } from './bundle.mjs'

const SERVICE = {
	main: 'packages/cli/src/main.ts',
	verbs: 'packages/cli/src/verbs.ts',
	state: 'packages/cli/src/state-tools.ts',
	grpc: 'packages/grpc/src/index.ts',
	daemon: 'packages/cli/src/daemon-tools.ts',
	metrics: 'packages/metrics/src/index.ts',
	plugins: 'packages/plugins/src/index.ts',
	'plugin-thread': 'packages/plugins/src/thread.ts',
}
const DEMO = { demo: 'packages/testkit/src/demo.ts', grpc: 'packages/grpc/src/index.ts' }

await build({ ...program, entryPoints: process.argv.includes('--demo') ? DEMO : SERVICE, outdir: 'target' })
