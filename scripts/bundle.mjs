// What all bundles share: one file loads several times faster on a third of a core than the same code spread over a
// dependency tree.

/** Packages that a process loads only when it needs them; each is a bundle of its own beside the one that asks. */
const LATER = {
	'@heathroad/grpc': './grpc.cjs',
	'@heathroad/metrics': './metrics.cjs',
	'@heathroad/plugins': './plugins.cjs',
	'./daemon-tools.js': './daemon.cjs',
	'./verbs.js': './verbs.cjs',
	'./state-tools.js': './state.cjs',
}

const later = {
	name: 'later',
	setup(build) {
		build.onResolve(
			{ filter: /^(@heathroad\/(grpc|metrics|plugins)|\.\/(verbs|state-tools|daemon-tools)\.js)$/ },
			({ path, kind }) => (kind === 'dynamic-import' ? { path: LATER[path], external: true } : undefined),
		)
	},
}

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

/** For programs that run; tests have everything in one file. */
export const program = { ...shared, minifySyntax: true, legalComments: 'none', plugins: [later] }
