import { isMap } from './codec.js'

export interface MachineType {
	name: string
	cpus: number
	gpus: number
	ramGb: number
	cacheGb: number
	fetchGbPerS: number
	price: number
	spotPrice: number
	bootS: number
	zones: string[]
}

const num = (v: unknown, fallback: number): number => (typeof v === 'number' && v >= 0 ? v : fallback)

export const parseMachineTypes = (body: unknown): MachineType[] | null => {
	if (!isMap(body) || !Array.isArray(body.flavours)) return null
	const types: MachineType[] = []
	for (const f of body.flavours) {
		if (!isMap(f) || typeof f.label !== 'string' || !Array.isArray(f.sites)) return null
		const price = num(f.hourly, 0)
		types.push({
			name: f.label,
			cpus: num(f.cpus, 0),
			gpus: num(f.gpus, 0),
			ramGb: num(f.ramGb, 0),
			cacheGb: num(f.cacheGb, 0),
			fetchGbPerS: num(f.fetchGbPerS, 0.1),
			price,
			spotPrice: num(f.spotPrice, price),
			bootS: num(f.bootS, 60),
			zones: f.sites.filter((z): z is string => typeof z === 'string'),
		})
	}
	return types
}

export const parseMachineIds = (body: unknown): string[] | null =>
	isMap(body) && Array.isArray(body.hosts)
		? body.hosts.filter((h): h is string => typeof h === 'string')
		: null
