import { randomBytes } from 'node:crypto'
import {
	type ConnectionInjector,
	Server,
	ServerCredentials,
	type ServerUnaryCall,
	type sendUnaryData,
	status,
} from '@grpc/grpc-js'
import { ReflectionService } from '@grpc/reflection'
import type { GrpcSettings } from '@heathroad/config'
import { StreamAdmission, Hub, type JobEvent, SendScheduler, type Selection } from '@heathroad/events'
import {
	type EventMessage,
	fieldName,
	JOBS,
	type JobMessage,
	jobsPackage,
	jobsService,
	type SubmitMessage,
	stateName,
	toWire,
} from '@heathroad/proto'
import type { Service } from '@heathroad/server'
import {
	type HttpReply,
	isMap,
	JOB_ID_FORMAT,
	JOB_ID_PATTERN,
	type JobStatusResponse,
	MAX_BODY_BYTES,
} from '@heathroad/wire'
import { Effect } from 'effect'
import { HealthImplementation } from 'grpc-health-check'
import { ServiceRecords } from './records.js'
import { Sockets } from './sockets.js'
import { type Failure, failure, refusalFailure, replyFailure } from './status.js'
import { Stream, type WatchCall } from './stream.js'

/** Events sent in one go, of all streams together, before anything else of the process has its turn. */
const PER_TURN = 128

type Unary<Q, A> = (call: ServerUnaryCall<Q, A>, done: sendUnaryData<A>) => void

const EVENT_STATES = {
	pending: 'STATE_PENDING',
	running: 'STATE_RUNNING',
	done: 'STATE_DONE',
	cancelled: 'STATE_CANCELLED',
} as const

/** An event of a stream as a message of the definition. */
export const eventMessage = (e: JobEvent): Partial<EventMessage> => ({ ...e, state: EVENT_STATES[e.state] })

/** What is wrong, with its field as it is called here. */
const problem = (body: unknown): string => {
	if (!isMap(body)) return ''
	const text = String(body.error ?? '')
	return typeof body.field === 'string' ? fieldName(body.field) + text.slice(body.field.length) : text
}

/**
 * The face for gRPC of one controller. Submissions, questions and cancellations go through the same code as those over
 * HTTP; streams tell what the records say, and only for as long as this controller can answer its users.
 */
export class GrpcFace {
	private readonly server: Server
	private readonly injector: ConnectionInjector
	private readonly sockets: Sockets
	private readonly records: ServiceRecords
	private readonly admission: StreamAdmission
	private readonly pump: SendScheduler
	private readonly health = new HealthImplementation({ '': 'NOT_SERVING', [JOBS]: 'NOT_SERVING' })
	private readonly streams = new Set<Stream>()
	private hub: Hub | null = null
	private timer: ReturnType<typeof setInterval> | null = null
	private serving = false
	private draining = false
	private awakeSince: number
	/** readers that were let go while they took nothing: cut if they are still there by then */
	private readonly lingering = new Map<Stream, number>()

	constructor(
		private readonly s: Service,
		private readonly settings: GrpcSettings,
	) {
		const { deployment } = s.config.settings
		const { maxSockets: sockets, heartbeatMs: reportMs } = s.config.limits
		this.records = new ServiceRecords(s, settings.history)
		this.admission = new StreamAdmission(
			{
				streams: settings.streams,
				streamsPerTeam: Math.ceil(settings.streams / Math.max(1, deployment.teams.length)),
				jobIdsPerStream: settings.uids,
				jobIds: settings.watched,
				opensPerSecond: settings.opensPerS,
			},
			s.now,
		)
		this.pump = new SendScheduler(PER_TURN, setImmediate)
		this.awakeSince = s.membership.runningSince
		const connections = settings.connections || Math.max(4, Math.floor(sockets / 8))
		this.server = new Server({
			'grpc.max_receive_message_length': MAX_BODY_BYTES,
			'grpc.max_send_message_length': MAX_BODY_BYTES,
			// Each connection may hold as many streams as all may, and as many calls beside them.
			'grpc.max_concurrent_streams': settings.streams + 100,
			// Finds out peers that are gone without a word; idle connections make room.
			'grpc.keepalive_time_ms': settings.stallS * 1000,
			'grpc.keepalive_timeout_ms': Math.max(4000, reportMs * 2),
			'grpc.keepalive_permit_without_calls': 1,
			'grpc.max_connection_idle_ms': settings.stallS * 10_000,
			'grpc-node.max_session_memory': 1,
		})
		const definition = jobsPackage()
		this.server.addService(jobsService(definition), {
			Submit: this.submit,
			Get: this.get,
			Cancel: this.cancel,
			Watch: this.watch,
		})
		new ReflectionService(definition).addToServer(this.server)
		this.health.addToServer(this.server)
		this.injector = this.server.createConnectionInjector(ServerCredentials.createInsecure())
		this.sockets = new Sockets({ sockets: connections, firstMs: 5000 }, (socket) =>
			this.injector.injectConnection(socket),
		)
	}

	/** Listens and begins; the port is the one asked for, or any if that is 0. */
	async start(): Promise<number> {
		const { port } = await this.sockets.listen(this.settings.listen)
		this.timer = setInterval(() => this.look(), this.settings.everyS * 1000)
		this.s.log('info', 'gRPC server listening', { listen: this.settings.listen, port })
		return port
	}

	/** Lets all streams go, takes no more, and ends what is under way within `graceMs`; 0: at once, as in a crash. */
	async stop(graceMs = 1000): Promise<void> {
		this.draining = true
		if (this.timer !== null) clearInterval(this.timer)
		if (this.s.recordObserver === this.records) this.s.recordObserver = null
		this.sockets.close()
		if (graceMs > 0) {
			this.tellHealth(false)
			this.hub?.endAll('not serving')
			this.injector.drain(graceMs)
			// What was told last is on its way before the connections close.
			await new Promise((done) => setTimeout(done, Math.min(graceMs, 200)))
		}
		this.sockets.destroy()
		this.server.forceShutdown()
	}

	/** Streams that are open, for logs and tests. */
	get open(): number {
		return this.admission.openCount
	}

	// ---- jobs ----

	private ask<A>(
		method: string,
		path: string,
		body: unknown,
		done: sendUnaryData<A>,
		answer: (a: JobStatusResponse) => A,
	) {
		if (this.draining) return done(failure(status.UNAVAILABLE, 'this controller is ending', 100))
		this.s.handleRequest({ method, path, body }, (reply: HttpReply) => {
			const ok = reply.status === 200 || reply.status === 201
			if (ok) return done(null, answer(reply.body as JobStatusResponse))
			done(replyFailure(reply, problem(reply.body)))
		})
	}

	private readonly job = (a: JobStatusResponse): JobMessage => {
		const record = this.s.jobs.get(a.uid)?.record
		return {
			uid: a.uid,
			state: stateName(a.status),
			done: a.done ?? 0,
			running: a.running ?? 0,
			tasks: record?.spec?.tasks ?? record?.taskCount ?? this.s.archive.cached(a.uid)?.taskCount ?? 0,
		}
	}

	private readonly submit: Unary<SubmitMessage, JobMessage> = (call, done) => {
		const { tasks } = call.request
		this.ask('POST', '/v2/runs', toWire(call.request), done, (a) => {
			const job = this.job(a)
			return { ...job, tasks: job.tasks || tasks }
		})
	}

	/** Only an id of the right form becomes part of a path. */
	private named(uid: string, done: (e: Failure) => void): boolean {
		if (JOB_ID_PATTERN.test(uid)) return true
		done(failure(status.INVALID_ARGUMENT, `uid: Expected ${JOB_ID_FORMAT}`))
		return false
	}

	private readonly get: Unary<{ uid: string }, JobMessage> = (call, done) => {
		const { uid } = call.request
		if (this.named(uid, done)) this.ask('GET', `/v2/runs/${uid}`, undefined, done, this.job)
	}

	private readonly cancel: Unary<{ uid: string }, JobMessage> = (call, done) => {
		const { uid } = call.request
		if (this.named(uid, done)) this.ask('POST', `/v2/runs/${uid}/withdraw`, {}, done, this.job)
	}

	// ---- streams ----

	private selection(uids: readonly string[], team: string): Selection | string {
		if ((uids.length === 0) === (team === '')) return 'uids, team: Expected one of the two'
		if (team !== '') return { team }
		const bad = uids.find((u) => !JOB_ID_PATTERN.test(u))
		return bad === undefined ? { uids: [...new Set(uids)] } : `uids: Expected ${JOB_ID_FORMAT} in each`
	}

	/** Whose share of the streams it takes: of several jobs, their first known one's team. */
	private teamOf(selection: Selection): string {
		if ('team' in selection) return selection.team
		for (const uid of selection.uids) {
			const record = this.s.jobs.get(uid)?.record
			if (record !== undefined) return record.spec?.team ?? record.resources?.team ?? ''
		}
		return ''
	}

	private readonly watch = (call: WatchCall): void => {
		const refuse = (f: Failure) => call.emit('error', f)
		const { uids, team, cursor } = call.request
		const selection = this.selection(uids, team)
		if (typeof selection === 'string') return void refuse(failure(status.INVALID_ARGUMENT, selection))
		if (!this.ready())
			return void refuse(failure(status.UNAVAILABLE, 'this controller cannot tell now', 1000))
		const counted = 'team' in selection ? 0 : selection.uids.length
		const share = this.teamOf(selection)
		const refusal = this.admission.admit(share, counted)
		if (refusal !== null) return void refuse(refusalFailure(refusal))
		const stream = new Stream(call, this.pump, this.s.now, eventMessage, () => {
			this.streams.delete(stream)
			this.admission.release(share, counted)
		})
		this.streams.add(stream)
		// Nothing older may be told than anybody was told before the call, and nothing from before its cursor.
		this.s.afterLinearizableRead((ok) => {
			if (!ok || 'team' in selection) return this.begin(stream, selection, cursor, ok)
			this.recall(selection.uids, (all) => this.begin(stream, selection, cursor, all))
		})
	}

	/** Final states of named jobs that are in memory no longer are read before the stream begins. */
	private recall(uids: readonly string[], done: (all: boolean) => void): void {
		const unknown = uids.filter(
			(uid) => this.s.jobs.get(uid) === undefined && !this.s.archive.provesAbsent(uid),
		)
		const read = Effect.forEach(unknown, (uid) => this.s.archive.lookUp(uid), { concurrency: 'unbounded' })
		const told = Effect.map(read, (found) => {
			for (const f of found) if (typeof f !== 'string') this.records.recall(f)
			done(!found.includes('unsure'))
		})
		Effect.runFork(told)
	}

	private begin(stream: Stream, selection: Selection, cursor: string, fresh: boolean): void {
		if (!fresh || !this.ready())
			return stream.fail(failure(status.UNAVAILABLE, 'the state cannot be read now', 1000))
		const begun = this.hub!.subscribe(selection, cursor, {
			wake: () => stream.wake(),
			ended: (why) => stream.ended(why),
		})
		if (begun === 'invalid cursor')
			stream.fail(failure(status.INVALID_ARGUMENT, 'cursor: not one of this installation and selection'))
		else if (begun === 'out of range')
			stream.fail(failure(status.OUT_OF_RANGE, 'cursor: what follows it is not kept any more'))
		else stream.begin(begun)
	}

	// ---- time ----

	private ready(): boolean {
		return this.hub !== null && !this.draining && this.s.isHealthy()
	}

	/** The regular look: health, what changed, readers that take nothing. */
	private look(): void {
		if (this.hub === null) {
			const id = this.records.installation()
			if (id === null) this.records.nameInstallation(randomBytes(12).toString('base64url'))
			else {
				this.hub = new Hub(this.records, id, this.settings.everyS * 1000, this.s.now)
				this.records.hub = this.hub
			}
		}
		const ready = this.ready()
		if (ready !== this.serving) this.tellHealth(ready)
		// After a standstill others know better: what we would tell next may be long over.
		const stood = this.s.membership.runningSince !== this.awakeSince
		this.awakeSince = this.s.membership.runningSince
		if (!ready || stood) this.hub?.endAll('not serving')
		this.hub?.look()
		const { stallS, behind } = this.settings
		const now = this.s.now()
		for (const stream of this.streams)
			if (stream.stalled(stallS * 1000, behind)) {
				this.lingering.set(stream, now + stallS * 1000)
				stream.letGo('too slow')
				this.s.log('info', 'slow stream closed', { peer: stream.peer })
			}
		// Its status waits behind what it does not take: a reader that never does is cut, or its memory would stay. What
		// else is on its connection goes on from its cursors.
		for (const [stream, until] of this.lingering) {
			if (stream.gone || now > until) this.lingering.delete(stream)
			if (!stream.gone && now > until) this.sockets.cut(stream.peer)
		}
	}

	private tellHealth(serving: boolean): void {
		this.serving = serving
		for (const name of ['', JOBS]) this.health.setStatus(name, serving ? 'SERVING' : 'NOT_SERVING')
	}
}
