// Bundles the service into target/main.cjs: one file loads several times faster on a third of a core
// than the same code spread over a dependency tree.
import { build } from 'esbuild'

await build({
	entryPoints: ['packages/cli/src/main.ts'],
	outfile: 'target/main.cjs',
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	legalComments: 'none',
	logLevel: 'warning',
})
