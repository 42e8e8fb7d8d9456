/** Conversion between services and their messages in the operator RPC. */
import {create} from '@bufbuild/protobuf';
import {
  BackendServerSchema,
  ContractSchema,
  ServiceSchema,
  type BackendServer,
  type Contract as ContractMessage,
  type Service,
} from '../gen/operator_pb.js';
import type {Contract} from '../contract/contract.js';
import type {
  BackendServerConfig,
  ServiceConfig,
} from '../service/service_config.js';

/**
 * Converts a service to its message; {@link Rank} has the same numbers in both.
 */
export function serviceToMessage(cfg: ServiceConfig): Service {
  return create(ServiceSchema, {
    ...cfg,
    backendServers: cfg.backendServers.map(backendServerToMessage),
    contracts: cfg.contracts.map(contractToMessage),
  });
}

/**
 * Converts a message to unvalidated input for `serviceSchema`; fields that are
 * absent from the message are left out.
 */
export function serviceFromMessage(message: Service): unknown {
  return {
    member: message.member,
    name: message.name,
    backendServers: message.backendServers.map(backendServerFromMessage),
    contracts: message.contracts.map(contractFromMessage),
    floors: plainFields(message.floors),
    budgets: plainFields(message.budgets),
    owners: message.owners,
  };
}

function backendServerToMessage(cfg: BackendServerConfig): BackendServer {
  return create(BackendServerSchema, cfg);
}

function backendServerFromMessage(message: BackendServer): unknown {
  return plainFields(message);
}

function contractToMessage(contract: Contract): ContractMessage {
  return create(ContractSchema, contract);
}

function contractFromMessage(message: ContractMessage): unknown {
  return plainFields(message);
}

/** Copies a message without the protobuf runtime's own `$` fields. */
function plainFields(message: object | undefined): unknown {
  if (message === undefined) return undefined;
  return Object.fromEntries(
    Object.entries(message).filter(([name]) => !name.startsWith('$')),
  );
}
