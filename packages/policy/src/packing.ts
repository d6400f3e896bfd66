import { fits, type Resources } from './placement.js'

export interface PackedTask {
	need: Resources
	/** run time that is left, by the estimate */
	leftS: number
	/** what moving it costs: saving, being told, fetching the image anew; null: it cannot save, or not now */
	moveS: number | null
}

export interface PackedMachine {
	id: string
	/** price an hour */
	price: number
	cpus: number
	free: Resources
	tasks: readonly PackedTask[]
}

/** A move must win this many times what it costs: estimates are often wrong by half. */
const WORTH = 4

const endS = (m: PackedMachine): number => Math.max(0, ...m.tasks.map((t) => t.leftS))
const busy = (m: PackedMachine): number => m.cpus - m.free.cpus

/**
 * Which machines to empty by moving their tasks, all of which can save, to room on machines that stay for other tasks
 * anyway or cost at most half as much for the same CPUs. Those go first that win most per CPU moved. At most `most`
 * machines, and only into half of the room that is free, so that the moved tasks do not wait.
 */
export const choosePacking = <M extends PackedMachine>(
	machines: readonly M[],
	most: number,
	may: (from: M, task: PackedTask, to: M) => boolean,
): M[] => {
	const free = new Map(machines.map((m) => [m, { ...m.free }]))
	const stays = new Set<M>()
	const goes = new Set<M>()
	const win = (m: M) => (m.price * endS(m)) / busy(m)
	const movable = machines.filter(
		(m) => m.tasks.length > 0 && m.tasks.every((t) => t.moveS !== null && t.leftS >= t.moveS * WORTH),
	)
	movable.sort((a, b) => win(b) - win(a))
	const receivers = machines.filter((m) => m.tasks.length > 0).sort((a, b) => endS(b) - endS(a))
	let room = receivers.reduce((n, m) => n + m.free.cpus, 0) / 2
	for (const m of movable) {
		if (goes.size >= most) break
		if (stays.has(m) || busy(m) * 2 > m.cpus || busy(m) > room - m.free.cpus / 2) continue
		const taken: { to: M; need: Resources }[] = []
		for (const task of m.tasks) {
			const to = receivers.find((r) => {
				if (r === m || goes.has(r) || !fits(task.need, free.get(r)!) || !may(m, task, r)) return false
				return endS(r) >= task.leftS * 0.75 || r.price / r.cpus <= m.price / m.cpus / 2
			})
			if (to === undefined) break
			const left = free.get(to)!
			left.cpus -= task.need.cpus
			left.gpus -= task.need.gpus
			left.ramGb -= task.need.ramGb
			taken.push({ to, need: task.need })
		}
		if (taken.length === m.tasks.length) {
			goes.add(m)
			for (const { to } of taken) stays.add(to)
			room -= busy(m) + m.free.cpus / 2
		} else
			for (const { to, need } of taken) {
				const left = free.get(to)!
				left.cpus += need.cpus
				left.gpus += need.gpus
				left.ramGb += need.ramGb
			}
	}
	return [...goes]
}
