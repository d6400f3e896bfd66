/**
 * Records what crosses a boundary on a simulated day: stored keys and values, and requests and responses between the
 * controllers, the state service, the cloud, workers, users and plug-ins. Of each format it keeps the values that show
 * a feature for the first time, which are few, and the bytes of all others.
 */
import type { Service } from '@heathroad/server'
import type { FakeWorker, Simulation } from '@heathroad/testkit'
import { isMap } from '@heathroad/wire'
import { featuresOf } from './features.js'
import { bytesOf, viewOf } from './fixtures.js'

/** One value of a format, as it was stored or sent. */
export interface Sample {
	/** its context: a key, a path or a status */
	about: string
	/** the MessagePack bytes in hexadecimal digits, or the text of what is sent as JSON */
	bytes: string
	/** the value in readable form */
	view: unknown
}

/** What a day shows of one format. */
export interface FormatRecording {
	/** every path with its type, over all values of the day */
	features: string[]
	samples: Sample[]
}

interface RecordedValues {
	features: Set<string>
	samples: Sample[]
	all: Set<string>
}

/** Identifies a value within its format. */
export const identityOf = (sample: Sample): string => `${sample.about} ${sample.bytes}`

/** Replaces ids, numbers and incarnations in a key or path by placeholders. */
const withPlaceholders = (text: string): string =>
	text
		.replace(/job-\d+/g, '<job>')
		.replace(/intake\/.*/, 'intake/<name>')
		.replace(/fleet\/.*/, 'fleet/<name>')
		.replace(/(heathroad-past\/\d+)\/.*/, '$1/<end>')
		.replace(/\d+/g, '<n>')

/** A transaction without the values that it sets, which are recorded separately. */
const withoutValues = (body: unknown): unknown => {
	if (!isMap(body) || !Array.isArray(body.apply)) return body
	const apply = body.apply.map((change) =>
		isMap(change) && 'data' in change ? { ...change, data: '' } : change,
	)
	return { ...body, apply }
}

export class Recorder {
	private readonly formats = new Map<string, RecordedValues>()

	/** Records one value of a format. `featureSource`: the part that its features are taken from, by default all of it. */
	record(format: string, about: string, value: unknown, featureSource: unknown = value): void {
		this.addSample(format, { about, bytes: bytesOf(value), view: viewOf(value) }, featureSource)
	}

	/** Records one value that is sent as JSON. */
	recordJson(format: string, about: string, text: string): void {
		const value: unknown = JSON.parse(text)
		this.addSample(format, { about, bytes: text, view: value }, value)
	}

	private addSample(format: string, sample: Sample, featureSource: unknown): void {
		const recorded = this.formats.get(format) ?? { features: new Set(), samples: [], all: new Set() }
		this.formats.set(format, recorded)
		const sizeBefore = recorded.features.size
		recorded.features.add(`about ${withPlaceholders(sample.about)}`)
		for (const feature of featuresOf(featureSource)) recorded.features.add(feature)
		if (recorded.features.size > sizeBefore) recorded.samples.push(sample)
		recorded.all.add(identityOf(sample))
	}

	/** Returns whether exactly this value was stored or sent. */
	hasRecorded(format: string, sample: Sample): boolean {
		return this.formats.get(format)?.all.has(identityOf(sample)) ?? false
	}

	/** All formats, ordered by name. */
	result(): Record<string, FormatRecording> {
		const names = [...this.formats.keys()].sort()
		return Object.fromEntries(
			names.map((name) => {
				const { features, samples } = this.formats.get(name)!
				return [name, { features: [...features].sort(), samples }]
			}),
		)
	}

	/** Attaches to a simulation that has not started yet. */
	attach(simulation: Simulation): void {
		this.attachState(simulation)
		this.attachCloud(simulation)
		this.attachWorkers(simulation)
		const started = simulation.onStarted
		simulation.onStarted = (index, node) => {
			this.attachController(node)
			started(index, node)
		}
	}

	private attachState(simulation: Simulation): void {
		const { state } = simulation
		const handle = state.handle.bind(state)
		state.handle = (method, path, body, reply, client) => {
			const route = withPlaceholders(path.split('?')[0])
			this.record(`state request ${method} ${route}`, path, body, withoutValues(body))
			this.recordWrites(body)
			handle(
				method,
				path,
				body,
				(answer) => {
					this.record(`state answer ${method} ${route}`, String(answer.status), answer.body, null)
					reply(answer)
				},
				client,
			)
		}
	}

	/** Records the keys and values that a transaction sets. */
	private recordWrites(body: unknown): void {
		if (!isMap(body) || !Array.isArray(body.apply)) return
		for (const change of body.apply.filter(isMap)) {
			if (typeof change.set !== 'string') continue
			this.record(`state key ${withPlaceholders(change.set)}`, change.set, change.data)
		}
	}

	private attachCloud(simulation: Simulation): void {
		const { cloud } = simulation
		const handle = cloud.handle.bind(cloud)
		cloud.handle = (method, path, body) => {
			const answer = handle(method, path, body)
			this.record(`cloud request ${method} ${path}`, path, body ?? null)
			this.record(`cloud answer ${method} ${path}`, String(answer.status), answer.body)
			return answer
		}
	}

	private attachWorkers(simulation: Simulation): void {
		const { workers } = simulation
		const set = workers.set.bind(workers)
		workers.set = (id, worker) => {
			this.attachWorker(worker)
			return set(id, worker)
		}
	}

	private attachWorker(worker: FakeWorker): void {
		const call = worker.call.bind(worker)
		worker.call = (path, body) => {
			this.record(`worker request ${path}`, path, body ?? null)
			const answered = call(path, body)
			void answered.then((answer) => {
				if (answer !== null) this.record(`worker answer ${path}`, String(answer.status), answer.body)
			})
			return answered
		}
	}

	private attachController(node: Service): void {
		const handleUserRequest = node.handleRequest.bind(node)
		node.handleRequest = (call, reply) => {
			const route = `${call.method} ${withPlaceholders(call.path)}`
			this.record(`controller request ${route}`, call.path, call.body ?? null)
			handleUserRequest(call, (answer) => {
				const retryAfter = answer.retryAfterS === undefined ? '' : ' and a time to come back'
				this.record(`controller answer ${route}`, `${answer.status}${retryAfter}`, answer.body ?? {})
				reply(answer)
			})
		}
		const { membership } = node
		const answerPeer = membership.handlePeerRequest.bind(membership)
		membership.handlePeerRequest = (path, message) => {
			const answer = answerPeer(path, message)
			this.record(`peer request ${path}`, path, message)
			this.record(`peer answer ${path}`, path, answer)
			return answer
		}
	}
}
