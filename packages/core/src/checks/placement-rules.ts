import type { Configuration } from '../resources/index.js';
import { parseEndpoint } from '../types/index.js';
import { warning, type ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

const MAX_OCTET = 255;
const MAX_PORT = 65_535;

/** Reports upstreams with more slots than connections, of which the surplus is never used. */
export class SlotsOverConnectionsRule implements ConfigurationRule {
  readonly id = 'slots-over-connections';

  check(cfg: Configuration): readonly Finding[] {
    return cfg
      .list('upstream')
      .filter(({ spec }) => spec.slots > spec.connections)
      .map(({ name, spec }) =>
        warning({
          rule: this.id,
          resource: `upstream/${name}`,
          field: ['spec', 'slots'],
          message: `${spec.slots} slots need as many connections, but there are ${spec.connections}`,
          nextStep: 'Raise connections, or lower slots.',
        }),
      );
  }
}

interface Placed {
  readonly resource: string;
  readonly address: string;
}

function placed(cfg: Configuration, kind: 'upstream' | 'instance'): readonly Placed[] {
  return cfg
    .list(kind)
    .map(({ name, spec }) => ({ resource: `${kind}/${name}`, address: spec.address }));
}

/** Reports addresses that two upstreams or two instances have. */
export class SharedAddressRule implements ConfigurationRule {
  readonly id = 'address-shared';

  check(cfg: Configuration): readonly Finding[] {
    const kinds = ['upstream', 'instance'] as const;
    return kinds.flatMap((kind) => this.#checkKind(placed(cfg, kind)));
  }

  #checkKind(members: readonly Placed[]): readonly Finding[] {
    const owners = new Map<string, string>();
    return members.flatMap(({ resource, address }) => {
      const owner = owners.get(address);
      owners.set(address, owner ?? resource);
      if (owner === undefined) {
        return [];
      }
      return [
        warning({
          rule: this.id,
          resource,
          field: ['spec', 'address'],
          message: `${owner} has the address ${address} too, so its capacity counts twice`,
          nextStep: 'Correct one of the addresses, or delete one of the resources.',
        }),
      ];
    });
  }
}

/** Reports addresses that nothing can listen on. */
export class UnusableAddressRule implements ConfigurationRule {
  readonly id = 'address-unusable';

  check(cfg: Configuration): readonly Finding[] {
    return [...placed(cfg, 'upstream'), ...placed(cfg, 'instance')]
      .filter(({ address }) => !isUsable(address))
      .map(({ resource, address }) =>
        warning({
          rule: this.id,
          resource,
          field: ['spec', 'address'],
          message: `nothing can listen on ${address}`,
          nextStep: 'Use numbers up to 255 in the address and a port from 1 to 65535.',
        }),
      );
  }
}

function isUsable(address: string): boolean {
  const { host, port } = parseEndpoint(address);
  const octets = host.split('.').map(Number);
  return octets.every((octet) => octet <= MAX_OCTET) && port >= 1 && port <= MAX_PORT;
}

/** Reports zones that have neither an upstream nor an instance. */
export class UnusedZoneRule implements ConfigurationRule {
  readonly id = 'zone-unused';

  check(cfg: Configuration): readonly Finding[] {
    const used = new Set(
      [...cfg.list('upstream'), ...cfg.list('instance')].map(({ spec }) => spec.zone),
    );
    return cfg
      .list('zone')
      .filter(({ name }) => !used.has(name))
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `zone/${name}`,
          field: ['name'],
          message: 'no upstream and no instance is in this zone',
          nextStep: 'Correct the name, or delete the zone.',
        }),
      );
  }
}
