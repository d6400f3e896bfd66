// Options that all bundles share. One file loads several times faster on a third of a core than the same code spread
// over a dependency tree.

/** Modules that a process loads only when it needs them; each is a bundle of its own beside the one that asks. */
const LAZY_BUNDLES = {
	'@heathroad/grpc': './grpc.cjs',
	'@heathroad/metrics': './metrics.cjs',
	'@heathroad/plugins': './plugins.cjs',
	'./daemon-tools.js': './daemon.cjs',
	'./verbs.js': './verbs.cjs',
	'./state-tools.js': './state.cjs',
}

/** Leaves dynamic imports of these modules to the bundles beside. */
const lazyImports = {
	name: 'lazy-imports',
	setup(build) {
		build.onResolve(
			{ filter: /^(@heathroad\/(grpc|metrics|plugins)|\.\/(verbs|state-tools|daemon-tools)\.js)$/ },
			({ path, kind }) =>
				kind === 'dynamic-import' ? { path: LAZY_BUNDLES[path], external: true } : undefined,
		)
	},
}

/** Options of every bundle. */
export const shared = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	outExtension: { '.js': '.cjs' },
	loader: { '.proto': 'text' },
	// They read files that lie beside their code.
	external: ['@grpc/*', 'grpc-health-check', 'protobufjs', 'esbuild', 'roaring-wasm', '@jitl/*'],
	logLevel: 'warning',
}

/** Options of programs; tests have everything in one file. */
export const program = { ...shared, minifySyntax: true, legalComments: 'none', plugins: [lazyImports] }
