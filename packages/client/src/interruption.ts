/** Signals of calls, and waiting that they interrupt. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Interrupted } from './errors.js'

/** A call that can be interrupted, with what its error says of the job. */
export interface InterruptibleCall {
	uid: string
	signal: AbortSignal
	/** whether the job may have been accepted by now */
	mayBeAccepted: boolean
}

/** A signal of one call's own: the listeners of all calls would otherwise collect at a signal that many of them share. */
export const callSignal = (...sources: (AbortSignal | undefined)[]): AbortSignal =>
	AbortSignal.any(sources.filter((source) => source !== undefined))

const interruption = ({ uid, signal, mayBeAccepted }: InterruptibleCall): Interrupted =>
	new Interrupted('interrupted', uid, mayBeAccepted, { cause: signal.reason })

/** Throws `Interrupted` if the call's signal is aborted. */
export const throwIfInterrupted = (call: InterruptibleCall): void => {
	if (call.signal.aborted) throw interruption(call)
}

/** Waits; throws `Interrupted` as soon as the call's signal is aborted. */
export const delay = async (ms: number, call: InterruptibleCall): Promise<void> => {
	try {
		await sleep(ms, undefined, { signal: call.signal })
	} catch {
		throw interruption(call)
	}
}
