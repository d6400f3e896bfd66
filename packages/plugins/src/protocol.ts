import type { Hook } from '@heathroad/plugin-api'

/** What a thread of plug-ins is told. A seat is one version of one plug-in there. */
export type ToThread =
	| {
			kind: 'load'
			seat: number
			name: string
			source: string
			hooks: readonly Hook[]
			memoryMb: number
	  }
	/** `args`: JSON, as the values of the module's world are made from it there */
	| { kind: 'call'; seat: number; id: number; hook: Hook; args: string; ms: number }
	| { kind: 'unload'; seat: number }

export type FromThread =
	| { kind: 'ready'; seat: number }
	| { kind: 'answer'; seat: number; id: number; value: unknown }
	| { kind: 'failed'; seat: number; id: number; why: string }
	/** the seat is empty again: it could not be loaded, was cut short in a call, or was told to go */
	| { kind: 'ended'; seat: number; why: string }

/** Characters of an answer, as JSON: a longer one would be copied into the controller's memory. */
export const MOST_ANSWER = 4096
/** Characters of an error's text that are kept. */
export const WHY = 200
