/**
 * Guards against listeners and timers that outlive a failed start or a stop of a controller: they keep the process from
 * exiting, or their errors go unreported.
 */
import assert from 'node:assert/strict'
import * as net from 'node:net'
import { test } from 'node:test'
import { DEFAULT_OPERATOR_SETTINGS, deriveLimits } from '@heathroad/config'
import { Service } from '@heathroad/server'
import { plainSettings } from '@heathroad/testkit'
import { Connections } from '../packages/grpc/src/connections.js'

/** Listens on a free port of the loopback interface. */
const occupyPort = async (): Promise<{ address: string; server: net.Server }> => {
	const server = net.createServer()
	await new Promise<void>((done) => server.listen(0, '127.0.0.1', done))
	return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, server }
}

const closed = (server: net.Server): Promise<void> => new Promise((done) => void server.close(() => done()))

const canListen = async (address: string): Promise<boolean> => {
	const [host, port] = address.split(':')
	const server = net.createServer()
	const isListening = await new Promise<boolean>((done) => {
		server.once('error', () => done(false))
		server.listen(Number(port), host, () => done(true))
	})
	if (isListening) await closed(server)
	return isListening
}

test('a controller that cannot listen on its second address releases its first one', async () => {
	const first = await occupyPort()
	await closed(first.server)
	const second = await occupyPort()
	const settings = { ...plainSettings('a'), bind: first.address, internal_addr: second.address }
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const service = new Service(config, () => {})
	await assert.rejects(service.start(), /EADDRINUSE/)
	assert.equal(await canListen(first.address), true)
	await closed(second.server)
})

test('errors of the gRPC listener after its start are reported, not only the first', async () => {
	const errors: string[] = []
	const connections = new Connections(
		{ maxConnections: 1, prefaceTimeoutMs: 1000, onError: (error) => errors.push(error.message) },
		() => {},
	)
	await connections.listen('127.0.0.1:0')
	const { server } = connections as unknown as { server: net.Server }
	server.emit('error', new Error('first'))
	server.emit('error', new Error('second'))
	assert.deepEqual(errors, ['first', 'second'])
	connections.destroy()
})

test('a stopped controller has no timers left', async () => {
	const settings = plainSettings('a')
	const config = { settings, ...DEFAULT_OPERATOR_SETTINGS, limits: deriveLimits(settings) }
	const timersBefore = process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length
	const service = new Service(config, () => {})
	service.begin()
	// A pending wait for a revision that never arrives fails at the stop.
	const outcomes: boolean[] = []
	service.waitForRevision(1000, (isKnown) => outcomes.push(isKnown))
	await service.stop()
	await new Promise((done) => setTimeout(done, 50))
	assert.deepEqual(outcomes, [false])
	const timersAfter = process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length
	assert.equal(timersAfter, timersBefore, 'timers')
})
