/** Imports of .proto files, which are bundled as text (`scripts/bundle.mjs`). */
declare module '*.proto' {
	const text: string
	export default text
}
