#!/bin/sh
# Builds the scripts of the cases, with the stand-ins that they start, into target/review/.
set -e
cd "$(dirname "$0")/.."
node --input-type=module -e "
import { build } from 'esbuild'
import { existsSync } from 'node:fs'
import { shared } from './scripts/bundle.mjs'
for (const number of [1, 2, 3]) {
	const entry = 'review/' + number + '/case.mjs'
	if (!existsSync(entry)) continue
	await build({ ...shared, format: 'esm', outExtension: { '.js': '.mjs' }, entryPoints: [entry], outfile: 'target/review/' + number + '.mjs',
		banner: { js: \"import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);\" } })
}
"
