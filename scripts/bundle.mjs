// esbuild options that all bundles share. On a third of a core, one file loads several times faster than the same code
// in many files of a dependency tree.

/** Modules that are loaded on demand, and their bundles, which are beside the importing one. */
const LAZY_BUNDLES = {
	'@heathroad/grpc': './grpc.cjs',
	'@heathroad/metrics': './metrics.cjs',
	'@heathroad/plugins': './plugins.cjs',
	'./daemon-tools.js': './daemon.cjs',
	'./verbs.js': './verbs.cjs',
	'./state-tools.js': './state.cjs',
}

/** Redirects dynamic imports of these modules to their bundles. */
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
	// They read files of their own packages at run time.
	external: ['@grpc/*', 'grpc-health-check', 'protobufjs', 'esbuild', 'roaring-wasm', '@jitl/*'],
	logLevel: 'warning',
}

/** Options of programs; test bundles include the modules that programs load on demand. */
export const program = { ...shared, minifySyntax: true, legalComments: 'none', plugins: [lazyImports] }
