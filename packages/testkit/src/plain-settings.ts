/** Controller settings for tests that run no simulated day. */
import { parseSettings, type Settings } from '@heathroad/config'

/** Port of the first peer's address; further peers have the next ones. */
const FIRST_PEER_PORT = 8090

/** Returns the settings of the controller `name`. `others`: names of its peers. */
export const plainSettings = (name: string, others: readonly string[] = []): Settings =>
	parseSettings({
		host_name: name,
		site: 'a',
		bind: '127.0.0.1:8080',
		internal_addr: '127.0.0.1:8081',
		members: others.map((other, index) => ({
			host_name: other,
			site: 'a',
			peer_addr: `127.0.0.1:${FIRST_PEER_PORT + index}`,
		})),
		services: { cloud: '127.0.0.1:1', state: '127.0.0.1:2' },
		deployment: {
			zones: ['a'],
			teams: [{ name: 'core', cpus: 0, gpus: 0, cpus_max: 0, gpus_max: 0 }],
			workers: { report_s: 1, lease_s: 10, cancel_s: 30 },
			state: { rps: 200, write_rps: 15, value_kb: 8, txn_ops: 12 },
			cloud: { rps: 2, list_lag_s: 3 },
			resources: { cpu: 0.34, memory_mb: 146, fd_limit: 900 },
		},
	})
