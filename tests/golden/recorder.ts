/**
 * Records what crosses a boundary on a simulated day: keys and values of the state, requests and answers between the
 * controllers, the state, the cloud, workers, users and plug-ins. Of each form it keeps every value that shows a
 * feature not seen before, which is a few of differing shapes, and remembers the bytes of all others.
 */
import type { Service } from '@heathroad/server'
import type { FakeWorker, Simulation } from '@heathroad/testkit'
import { isMap } from '@heathroad/wire'
import { featuresOf } from './features.js'
import { bytesOf, viewOf } from './fixtures.js'

/** One value of a form, as it was stored or sent. */
export interface Sample {
	/** what belongs to it beside its body: a key, a path, a status */
	about: string
	/** the MessagePack bytes in hexadecimal digits; of what is sent as JSON the text itself */
	bytes: string
	/** the same for people */
	view: unknown
}

/** All that a day showed of one form. */
export interface FormOfDay {
	/** every place with its type, over all values of the day */
	features: string[]
	samples: Sample[]
}

interface Recorded {
	features: Set<string>
	samples: Sample[]
	all: Set<string>
}

/** What tells two values of a form apart. */
export const identityOf = (sample: Sample): string => `${sample.about} ${sample.bytes}`

/** Ids, numbers and incarnations in a key or path stand for any other. */
const generalised = (text: string): string =>
	text
		.replace(/job-\d+/g, '<job>')
		.replace(/intake\/.*/, 'intake/<name>')
		.replace(/fleet\/.*/, 'fleet/<name>')
		.replace(/(heathroad-past\/\d+)\/.*/, '$1/<end>')
		.replace(/\d+/g, '<n>')

/** A transaction without the values that it sets: these are recorded for themselves. */
const withoutValues = (body: unknown): unknown => {
	if (!isMap(body) || !Array.isArray(body.apply)) return body
	const apply = body.apply.map((change) =>
		isMap(change) && 'data' in change ? { ...change, data: '' } : change,
	)
	return { ...body, apply }
}

export class Recorder {
	private readonly forms = new Map<string, Recorded>()

	/** Notes one value of a form. `shown`: what its features are taken from, if not the whole value. */
	note(form: string, about: string, value: unknown, shown: unknown = value): void {
		this.keep(form, { about, bytes: bytesOf(value), view: viewOf(value) }, shown)
	}

	/** Notes one value that is sent as JSON. */
	noteJson(form: string, about: string, text: string): void {
		const value: unknown = JSON.parse(text)
		this.keep(form, { about, bytes: text, view: value }, value)
	}

	private keep(form: string, sample: Sample, shown: unknown): void {
		const recorded = this.forms.get(form) ?? { features: new Set(), samples: [], all: new Set() }
		this.forms.set(form, recorded)
		const before = recorded.features.size
		recorded.features.add(`about ${generalised(sample.about)}`)
		for (const feature of featuresOf(shown)) recorded.features.add(feature)
		if (recorded.features.size > before) recorded.samples.push(sample)
		recorded.all.add(identityOf(sample))
	}

	/** Was exactly this value stored or sent? */
	saw(form: string, sample: Sample): boolean {
		return this.forms.get(form)?.all.has(identityOf(sample)) ?? false
	}

	/** All forms in the order of their names. */
	result(): Record<string, FormOfDay> {
		const names = [...this.forms.keys()].sort()
		return Object.fromEntries(
			names.map((name) => {
				const { features, samples } = this.forms.get(name)!
				return [name, { features: [...features].sort(), samples }]
			}),
		)
	}

	/** Begins to record a world that has not begun yet. */
	attach(world: Simulation): void {
		this.attachState(world)
		this.attachCloud(world)
		this.attachWorkers(world)
		const started = world.onStarted
		world.onStarted = (index, node) => {
			this.attachController(node)
			started(index, node)
		}
	}

	private attachState(world: Simulation): void {
		const { state } = world
		const handle = state.handle.bind(state)
		state.handle = (method, path, body, reply, client) => {
			const route = generalised(path.split('?')[0])
			this.note(`state request ${method} ${route}`, path, body, withoutValues(body))
			this.noteKeys(body)
			handle(
				method,
				path,
				body,
				(answer) => {
					this.note(`state answer ${method} ${route}`, String(answer.status), answer.body, null)
					reply(answer)
				},
				client,
			)
		}
	}

	/** The keys and values that a transaction sets. */
	private noteKeys(body: unknown): void {
		if (!isMap(body) || !Array.isArray(body.apply)) return
		for (const change of body.apply.filter(isMap)) {
			if (typeof change.set !== 'string') continue
			this.note(`state key ${generalised(change.set)}`, change.set, change.data)
		}
	}

	private attachCloud(world: Simulation): void {
		const { cloud } = world
		const handle = cloud.handle.bind(cloud)
		cloud.handle = (method, path, body) => {
			const answer = handle(method, path, body)
			this.note(`cloud request ${method} ${path}`, path, body ?? null)
			this.note(`cloud answer ${method} ${path}`, String(answer.status), answer.body)
			return answer
		}
	}

	private attachWorkers(world: Simulation): void {
		const { workers } = world
		const set = workers.set.bind(workers)
		workers.set = (id, worker) => {
			this.attachWorker(worker)
			return set(id, worker)
		}
	}

	private attachWorker(worker: FakeWorker): void {
		const call = worker.call.bind(worker)
		worker.call = (path, body) => {
			this.note(`worker request ${path}`, path, body ?? null)
			const answered = call(path, body)
			void answered.then((answer) => {
				if (answer !== null) this.note(`worker answer ${path}`, String(answer.status), answer.body)
			})
			return answered
		}
	}

	private attachController(node: Service): void {
		const face = node.handleRequest.bind(node)
		node.handleRequest = (call, reply) => {
			const route = `${call.method} ${generalised(call.path)}`
			this.note(`controller request ${route}`, call.path, call.body ?? null)
			face(call, (answer) => {
				const retryAfter = answer.retryAfterS === undefined ? '' : ' and a time to come back'
				this.note(`controller answer ${route}`, `${answer.status}${retryAfter}`, answer.body ?? {})
				reply(answer)
			})
		}
		const { membership: members } = node
		const answerPeer = members.handlePeerRequest.bind(members)
		members.handlePeerRequest = (path, message) => {
			const answer = answerPeer(path, message)
			this.note(`peer request ${path}`, path, message)
			this.note(`peer answer ${path}`, path, answer)
			return answer
		}
	}
}
