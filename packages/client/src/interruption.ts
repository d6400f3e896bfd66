/** Abort signals of calls, and delays that they interrupt. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Interrupted } from './errors.js'

/** A call that can be interrupted, with the fields of its `Interrupted` error. */
export interface InterruptibleCall {
	uid: string
	signal: AbortSignal
	/** whether the job may have been accepted by now */
	mayBeAccepted: boolean
}

/** Creates a signal for one call: otherwise the listeners of all calls would accumulate on a signal that they share. */
export const callSignal = (...sources: (AbortSignal | undefined)[]): AbortSignal =>
	AbortSignal.any(sources.filter((source) => source !== undefined))

const interruptedError = ({ uid, signal, mayBeAccepted }: InterruptibleCall): Interrupted =>
	new Interrupted('interrupted', uid, mayBeAccepted, { cause: signal.reason })

/** Throws `Interrupted` if the call's signal is aborted. */
export const throwIfInterrupted = (call: InterruptibleCall): void => {
	if (call.signal.aborted) throw interruptedError(call)
}

/** Waits for `ms`; throws `Interrupted` as soon as the call's signal is aborted. */
export const delay = async (ms: number, call: InterruptibleCall): Promise<void> => {
	try {
		await sleep(ms, undefined, { signal: call.signal })
	} catch {
		throw interruptedError(call)
	}
}
