// Node.js has it; its types for Node.js do not, and those for browsers would bring the rest of a browser's world.
declare namespace WebAssembly {
	class Memory {
		constructor(size: { initial: number; maximum: number })
	}
	class Module {}
	function compile(bytes: Uint8Array): Promise<Module>
}
