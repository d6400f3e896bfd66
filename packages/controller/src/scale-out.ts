import type { RentalRequest, RentResult } from '@heathroad/cloud'
import { encodeMachineGroup, type MachineGroupRecord, machineGroupKey } from '@heathroad/cluster'
import {
	allOffers,
	chooseOffer,
	fits,
	type InstanceOffer,
	isAllowedOn,
	isZoneAllowed,
	machineFraction,
	offerCost,
	offerKey,
	priorityRank,
	scaleOutWeight,
	tasksThatFit,
} from '@heathroad/policy'
import { KEY_PREFIX, WritePriority } from '@heathroad/store'
import type { JobSpec, MachineType } from '@heathroad/wire'
import type { MachineGroupWriter } from './machine-group-writer.js'
import type { JobRun } from './model.js'
import type { ShardState } from './state.js'

/** The most machines that one call to the cloud may ask for (protocol). */
const PER_CALL = 50

/** How much dearer than the best offer another may be that is asked at the same time. */
const NEAR_PRICE = 1.5

interface Want {
	offer: InstanceOffer
	machines: number
	/** at least one, however little it would have to do */
	forced: boolean
}

/** What to rent for the work that waits, and the calls that rent it. */
export class ScaleOut {
	private rentalCounter = 0
	/** rentals whose intent is being written: each is about to use a call */
	private starting = 0
	/** the last look lacked calls for what it wanted */
	private short = false
	private lastWasRental = false
	private readonly renting = new Map<string, { offer: InstanceOffer; count: number }>()

	constructor(
		private readonly state: ShardState,
		private readonly fleet: MachineGroupWriter,
	) {}

	offers(spec: JobSpec, nowOpen: boolean): InstanceOffer[] {
		const now = this.state.ports.now()
		// Each part begins with another zone, so that they do not all ask for the last machines of the same one.
		return allOffers(this.state.ports.machineTypes(), this.state.shardId).filter(
			(offer) =>
				fits(spec, offer.type) &&
				isAllowedOn(spec, offer) &&
				(!nowOpen || this.state.ports.offerAvailability.isAvailable(offerKey(offer), now)),
		)
	}

	/** Could a machine be rented within the task's share? If so it need not take one beyond it. */
	canAffordNewMachine(job: JobRun, runS: number): boolean {
		const share = job.budget.share(job.spec.uid)
		return this.offers(job.spec, true).some(
			(offer) => offerCost(job.spec, runS, offer, false, false).cost <= share,
		)
	}

	/** Machines that one record, and so one call, can hold. */
	private perRecord(): number {
		// An entry of a record is a machine's name and its address.
		const room = (this.state.config.settings.deployment.state.value_kb * 1024 - 256) / 64
		return Math.max(1, Math.min(PER_CALL, Math.floor(room)))
	}

	/**
	 * Rents for the work that machines here and on their way will not take. Capacity is counted in machines:
	 * a running task holds the share of its slot that it will still need while another machine boots.
	 */
	scaleOut(now: number, releasesWait: boolean): void {
		const calls = this.calls()
		if (this.state.ports.leadership() !== 'lease' || calls < 1) return
		// A release's turn: a silent machine's frees its tasks, and would wait for as long as rentals lack calls.
		if (releasesWait && this.lastWasRental && this.short) return
		const spare = this.spare(now)
		const wants = new Map<string, Want>()
		for (const job of this.state.waitingHealthyJobs(now)) {
			const { spec } = job
			const runS = this.state.estimatedRunS(spec)
			let tasks = job.readyTasks.size
			const team = this.state.teamLimit(spec.team)
			if (team !== undefined && team.cpus_max > 0 && spec.cpus > 0)
				tasks = Math.min(
					tasks,
					tasksThatFit(spec, {
						cpus: team.cpus_max - this.state.teamUsage(spec.team).cpus,
						gpus: 1e9,
						ramGb: 1e9,
					}),
				)
			let reachable = false
			for (const s of spare.values()) {
				if (tasks <= 0) break
				if (!fits(spec, s.type) || !isAllowedOn(spec, s) || !isZoneAllowed(spec, s.zone, job.taskCountByZone))
					continue
				reachable = true
				const each = this.rentShare(job, runS, s.type)
				const take = Math.min(tasks, s.spare / each)
				s.spare -= take * each
				tasks -= take
			}
			this.want(job, runS, tasks, wants, !reachable)
		}
		for (const job of this.state.waitingJobs(now))
			if (job.isQuarantined && this.renting.size === 0 && wants.size === 0 && !this.hasWitness(job))
				this.want(job, this.state.estimatedRunS(job.spec), 1, wants, true)
		const ready = [...wants.values()]
			.map(({ offer, machines, forced }) => ({
				offer,
				count: Math.max(forced ? 1 : 0, Math.ceil(machines - 0.5)),
			}))
			.filter((w) => w.count >= 1)
			.sort((a, b) => b.count * b.offer.type.cpus - a.count * a.offer.type.cpus)
		for (const { offer, count } of ready.slice(0, calls)) this.start(offer, count)
		this.short = ready.length > calls
		if (ready.length > 0) this.lastWasRental = true
	}

	/**
	 * Calls that a rental or a release started now would not wait for. A rental is not started sooner than its call can go
	 * out: fixed while it waits, it asks for what was wanted seconds ago, and in the first seconds of a day most calls
	 * went to one or two machines while a hundred were wanted.
	 */
	private calls(): number {
		return this.state.ports.availableCloudCalls() - this.starting
	}

	/** May a call be spent on a release? In turn with rentals while those lack calls. */
	mayScaleIn(): boolean {
		if (this.calls() < 1 || (this.short && !this.lastWasRental)) return false
		this.lastWasRental = false
		return true
	}

	/**
	 * Is there a machine that can tell whether the job or its machines are at fault: one that it has not failed on, or
	 * one where others succeed? Where all machines of a part are faulty, every job looks broken; without a machine
	 * rented for a trial none of them would ever run again.
	 */
	private hasWitness(job: JobRun): boolean {
		for (const machine of this.state.machines.values()) {
			if (
				machine.drainReason !== null ||
				!isAllowedOn(job.spec, machine) ||
				!isZoneAllowed(job.spec, machine.zone, job.taskCountByZone)
			)
				continue
			if (!machine.failuresByJob.has(job) && fits(job.spec, machine.type)) return true
		}
		return false
	}

	/**
	 * Adds what a job's waiting tasks ask for to what is about to be rented. A call holds so many machines, and one
	 * is under way per offer: what does not fit goes to the next best offer at once, or a fleet from nothing would
	 * be asked for call by call. Only where that is not much dearer: a dear machine is not worth a second's wait.
	 */
	private want(job: JobRun, runS: number, tasks: number, wants: Map<string, Want>, forced: boolean): void {
		const { spec } = job
		const price = (offer: InstanceOffer) => offerCost(spec, runS, offer, false, false).cost
		const open = this.offers(spec, true).filter((offer) =>
			isZoneAllowed(spec, offer.zone, job.taskCountByZone),
		)
		const most = Math.min(...open.map(price)) * NEAR_PRICE
		const underWay = new Set([...this.renting.values()].map((r) => offerKey(r.offer)))
		const perCall = this.perRecord()
		const room = (offer: InstanceOffer) => perCall - (wants.get(offerKey(offer))?.machines ?? 0)
		while (tasks > 1e-6) {
			const free = open.filter((o) => !underWay.has(offerKey(o)) && room(o) > 1e-6 && price(o) <= most)
			const offer = chooseOffer(spec, runS, job.budget.share(spec.uid), free)
			if (offer === undefined) return
			const each = this.rentShare(job, runS, offer.type)
			const machines = Math.min(tasks * each, room(offer))
			const want = wants.get(offerKey(offer)) ?? { offer, machines: 0, forced: false }
			want.machines += machines
			want.forced ||= forced
			wants.set(offerKey(offer), want)
			tasks -= machines / each
		}
	}

	/** What machines here and on their way will have to spare, by offer. */
	private spare(now: number) {
		const out = new Map<string, { spare: number; type: MachineType; zone: string; spot: boolean }>()
		const add = (offer: InstanceOffer, amount: number) => {
			const key = offerKey(offer)
			const known = out.get(key)
			if (known === undefined)
				out.set(key, { spare: amount, type: offer.type, zone: offer.zone, spot: offer.spot })
			else known.spare += amount
		}
		for (const machine of this.state.machines.values()) {
			if (machine.drainReason !== null || machine.releasing) continue
			if (!machine.booted && now - machine.discoveredAt > this.state.bootTimes.giveUpAfterMs(machine.type))
				continue
			// Silent for a lease: what it held waits again, and it may be long before it takes anything.
			if (machine.booted && now - machine.lastHeartbeatAt > this.state.config.limits.agentLeaseMs) continue
			let busy = 0
			for (const attempt of machine.attempts.values()) {
				if (attempt.state === 'ended' || attempt.job === null || attempt.orphaned) continue
				const left = this.state.remainingRunS(attempt, attempt.job, now)
				busy += machineFraction(attempt.resources, machine.type) * scaleOutWeight(left, machine.type.bootS)
			}
			add(machine, Math.max(0, 1 - busy))
		}
		for (const r of this.renting.values()) add(r.offer, r.count)
		return out
	}

	/**
	 * The part of a machine of this type that one waiting task asks to have rented. Urgent tasks do not wait in
	 * line for a slot, and a gang's tasks all run at once: they ask for a whole one.
	 */
	private rentShare(job: JobRun, runS: number, type: MachineType): number {
		const { spec } = job
		const whole = spec.kind === 'gang' || priorityRank(spec.priority) >= priorityRank('urgent')
		const weight = whole ? 1 : scaleOutWeight(runS, type.bootS, this.state.jobAgeS(job), job.startBounds)
		return weight / Math.max(1, tasksThatFit(spec, type))
	}

	private start(offer: InstanceOffer, count: number): void {
		const name = `r${this.state.shardId}-${this.state.fencingToken}-${++this.rentalCounter}`
		const record: MachineGroupRecord = {
			shardId: this.state.shardId,
			machineType: offer.type.name,
			zone: offer.zone,
			spot: offer.spot,
			requestedCount: count,
			addresses: {},
		}
		this.renting.set(name, { offer, count })
		this.starting++
		this.state.ports.log('info', 'scale-out requested', { rental: name, offer: offerKey(offer), count })
		const key = KEY_PREFIX + machineGroupKey(name)
		const data = encodeMachineGroup(record)
		this.state.enqueueOwnedWrite(
			WritePriority.rental,
			[{ key, modRevision: 0 }],
			[{ set: key, data }],
			(result) => {
				this.starting--
				if (result.kind === 'ok') {
					this.state.ports.applyOwnWrite(machineGroupKey(name), data, result.revision)
					this.rentRecordedGroup(name, record)
				} else if (result.kind === 'unknown')
					// If it was applied after all, the rental is carried out: a record of it must not stay open.
					this.state.ports.refreshCache(() => {
						if (this.state.ports.entry(machineGroupKey(name)) !== undefined)
							this.rentRecordedGroup(name, record)
						else this.renting.delete(name)
					})
				else this.renting.delete(name)
			},
		)
	}

	/** An intent on record is carried out under its name, by a successor too: the same name gets the same answer. */
	rentRecordedGroup(name: string, record: MachineGroupRecord): void {
		if (this.state.stopped) return
		if (!this.renting.has(name)) {
			const type = this.state.machineTypeNamed(record.machineType)
			this.renting.set(name, {
				offer: { type, zone: record.zone, spot: record.spot },
				count: record.requestedCount,
			})
		}
		const request: RentalRequest = {
			name,
			machineType: record.machineType,
			zone: record.zone,
			spot: record.spot,
			count: record.requestedCount,
		}
		this.state.ports.rent(request, (result) => this.rented(name, record, result))
	}

	private rented(name: string, record: MachineGroupRecord, result: RentResult): void {
		if (this.state.stopped) return
		if (result.kind === 'again') return this.rentRecordedGroup(name, record)
		const machines = result.kind === 'rented' ? result.machineIds : []
		const offer = this.renting.get(name)!.offer
		const key = offerKey(offer)
		this.state.ports.log('info', 'scale-out answered', {
			rental: name,
			offer: key,
			got: machines.length,
			result: result.kind,
		})
		const bootMs = offer.type.bootS * 1000
		if (machines.length < record.requestedCount)
			this.state.ports.offerAvailability.recordRefusal(
				key,
				this.state.ports.now(),
				bootMs * 0.25,
				bootMs * 2,
				machines.length > 0,
			)
		else this.state.ports.offerAvailability.recordSuccess(key)
		this.fleet.recordRentalResult(name, machines)
		// Counted as machines from now on, once their record has them.
		if (machines.length === 0) this.renting.delete(name)
	}

	/** A fleet record of this part's: an answered rental's, or an intent whose write came late and is carried out. */
	onGroupRecorded(name: string, record: MachineGroupRecord): void {
		if (record.requestedCount === 0) this.renting.delete(name)
		else if (!this.renting.has(name)) this.rentRecordedGroup(name, record)
	}
}
