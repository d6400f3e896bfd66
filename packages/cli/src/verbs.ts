/** Implements the commands for users: submit, show, cancel and watch jobs. */

import {
	Client,
	Interrupted,
	isFinal,
	JobError,
	type JobEvent,
	type JobInfo,
	type Submission,
} from '@heathroad/client'
import { EXIT, printError, printLine } from './output.js'

/** Addresses of the service, and the output format. */
export interface ClientTarget {
	httpAddresses: readonly string[]
	grpcAddresses: readonly string[]
	/** null: JSON unless standard output is a terminal */
	json: boolean | null
	deadlineS?: number
}

/** The jobs to watch: by id, or all jobs of a team. */
export type WatchSelection = { uids: readonly string[] } | { team: string }

type PrintableJob = JobInfo & { tasks?: number }

const wantsJson = (target: ClientTarget): boolean => target.json ?? !process.stdout.isTTY

const formatCounts = ({ tasks, done, running }: PrintableJob): string => {
	const total = tasks ? ` of ${tasks}` : ''
	const doneText = `${done}${total} done`
	return running > 0 ? `${doneText}, ${running} running` : doneText
}

/** Formats a job as one line of text. */
export const formatJob = (job: PrintableJob): string =>
	`${job.uid}  ${job.state.padEnd(9)}  ${formatCounts(job)}`

/** Returns a job with the names of the wire protocol, which scripts have relied on since the first version. */
const jsonOf = (job: JobInfo): Record<string, unknown> => ({
	uid: job.uid,
	status: job.state === 'cancelled' ? 'aborted' : job.state,
	done: job.done,
	running: job.running,
})

const printJob = (target: ClientTarget, job: PrintableJob, extraFields: Record<string, unknown> = {}): void =>
	printLine(wantsJson(target) ? JSON.stringify({ ...jsonOf(job), ...extraFields }) : formatJob(job))

const printEvent = (target: ClientTarget, event: JobEvent): void => {
	const { tasks, cursor, afterGap } = event
	printJob(target, event, { tasks, cursor, ...(afterGap ? { afterGap: true } : {}) })
}

const describeError = (error: unknown): string => {
	if (!(error instanceof JobError)) return (error as Error).message
	const hint = error.mayBeAccepted
		? `; it may have been accepted: ask for ${error.uid}, or submit it again under that id`
		: ''
	return `${error.message}${hint}`
}

/** Runs a command with a client until it finishes or is interrupted (SIGINT), and sets the exit code. */
const withClient = async (
	target: ClientTarget,
	work: (client: Client, signal: AbortSignal) => Promise<void>,
): Promise<void> => {
	const client = new Client({
		grpc: target.grpcAddresses,
		http: target.httpAddresses,
		...(target.deadlineS === undefined ? {} : { deadlineMs: target.deadlineS * 1000 }),
		onWarning: ({ kind, address, uids, watchId }) =>
			process.stderr.write(`${address}: ${kind}, ${uids.length} jobs outstanding (watch ${watchId})\n`),
	})
	const interrupt = new AbortController()
	process.once('SIGINT', () => interrupt.abort())
	// Sets the exit code instead of calling `exit`, since output to a pipe may still be pending.
	process.exitCode = 0
	try {
		await work(client, interrupt.signal)
	} catch (error) {
		const isInterrupted = error instanceof Interrupted && interrupt.signal.aborted
		if (!isInterrupted) printError(describeError(error))
		process.exitCode = EXIT.refused
	} finally {
		client.close()
	}
}

/** Submits a job and prints it; with `wait`, prints its events until it is terminal (in JSON only the last one). */
export const submit = (target: ClientTarget, job: Submission, { wait }: { wait: boolean }): Promise<void> =>
	withClient(target, async (client, signal) => {
		const accepted = await client.submit(job, { signal })
		if (!wait) return printJob(target, { ...accepted, tasks: job.tasks })
		printJob(target, accepted)
		for await (const event of client.watch({ uids: [accepted.uid] }, { signal }))
			if (isFinal(event.state) || !wantsJson(target)) printEvent(target, event)
	})

/** Prints a job. */
export const status = (target: ClientTarget, uid: string): Promise<void> =>
	withClient(target, async (client, signal) => printJob(target, await client.get(uid, { signal })))

/** Cancels a job and prints it. */
export const cancel = (target: ClientTarget, uid: string): Promise<void> =>
	withClient(target, async (client, signal) => printJob(target, await client.cancel(uid, { signal })))

/** Prints the events of jobs, starting after the cursor if one is given. */
export const watch = (target: ClientTarget, selection: WatchSelection, cursor?: string): Promise<void> =>
	withClient(target, async (client, signal) => {
		for await (const event of client.watch(selection, { signal, cursor })) printEvent(target, event)
	})
