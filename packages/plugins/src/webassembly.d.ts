// Node.js's type definitions lack WebAssembly, and TypeScript's `dom` library would declare all browser globals.
declare namespace WebAssembly {
	class Memory {
		constructor(size: { initial: number; maximum: number })
	}
	class Module {}
	function compile(bytes: Uint8Array): Promise<Module>
}
