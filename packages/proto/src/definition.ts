/** Loads the gRPC service definition for servers, clients and reflection. */
import type { GrpcObject } from '@grpc/grpc-js'
import { loadPackageDefinition } from '@grpc/grpc-js'
import { fromJSON, type PackageDefinition } from '@grpc/proto-loader'
import protobuf from 'protobufjs'
import text from '../heathroad/v1/jobs.proto'
import type { JobsDefinition } from './generated/heathroad/v1/Jobs.js'
import type { ProtoGrpcType } from './generated/jobs.js'

/**
 * Parses the definition from the text of the .proto file, which is part of the bundle. The types are generated from the
 * same file (`npm run proto`).
 */
export const jobsPackage = (): PackageDefinition => {
	const { root } = protobuf.parse(text, { keepCase: true })
	return fromJSON(root.toJSON(), {
		keepCase: true,
		enums: String,
		longs: Number,
		defaults: true,
	})
}

// The library types a loaded package as a tree of unknown members; `ProtoGrpcType` is the generated type of this one.
const typedPackage = (definition: PackageDefinition): ProtoGrpcType =>
	loadPackageDefinition(definition) as GrpcObject as unknown as ProtoGrpcType

/** The service's methods with their serializers, as a server needs them. */
export const jobsService = (definition: PackageDefinition): JobsDefinition =>
	typedPackage(definition).heathroad.v1.Jobs.service

/** Returns the constructor of the service's client. */
export const jobsClient = () => typedPackage(jobsPackage()).heathroad.v1.Jobs

/** The service's full name, under which its health is reported. */
export const JOBS_SERVICE_NAME = 'heathroad.v1.Jobs'
