// The types of Node.js lack WebAssembly, and the library of browser types would declare all other browser globals.
declare namespace WebAssembly {
	class Memory {
		constructor(size: { initial: number; maximum: number })
	}
	class Module {}
	function compile(bytes: Uint8Array): Promise<Module>
}
