// Settings like those of the two small deployments: the values of the brief.
export const daugava = {
	nodes: 3,
	zones: ['jelgava-dc', 'riga-centre'],
	teams: [{ name: 'settlements', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
	workers: { report_s: 1, lease_s: 10, gang_wait_s: 35, gang_peer_s: 5, cancel_s: 30 },
	state: { rps: 200, write_rps: 15, value_kb: 8, txn_ops: 12 },
	cloud: { rps: 2, list_lag_s: 3 },
	resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
	types: [
		{ label: 'small-rack', cpus: 8, gpus: 0, ramGb: 32, cacheGb: 35, fetchGbPerS: 0.5, hourly: 0.57, spotPrice: 0.18, bootS: 40, sites: ['jelgava-dc', 'riga-centre'] },
		{ label: 'wide-rack', cpus: 32, gpus: 0, ramGb: 128, cacheGb: 50, fetchGbPerS: 0.3, hourly: 2.26, spotPrice: 0.68, bootS: 35, sites: ['jelgava-dc', 'riga-centre'] },
	],
}

export const szalkabel = {
	nodes: 3,
	zones: ['budapest-a', 'debrecen-b'],
	teams: [{ name: 'dispatch', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
	workers: { report_s: 3, lease_s: 26, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 46 },
	state: { rps: 100, write_rps: 25, value_kb: 8, txn_ops: 8 },
	cloud: { rps: 4, list_lag_s: 5 },
	resources: { cpu: 0.34, memory_mb: 306, fd_limit: 3000 },
	types: [
		{ label: 'basic-vm', cpus: 8, gpus: 0, ramGb: 32, cacheGb: 35, fetchGbPerS: 0.3, hourly: 0.42, spotPrice: 0.12, bootS: 15, sites: ['budapest-a', 'debrecen-b'] },
	],
}
