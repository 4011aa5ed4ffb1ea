import { reply, serve } from './http.mjs';

/** The platform's list of machines and its orders, as PROTOCOL.md tells them. */
export class Cloud {
  /** `machines`: objects with machine, pool, state, zone, labels, capacity and id. */
  constructor({ record, machines = [], onUpkeep }) {
    this.record = record;
    this.machines = machines;
    this.onUpkeep = onUpkeep;
    this.silent = false;
  }

  async listen(host) {
    this.server = await serve(host, 0, (call) => this.#handle(call));
    this.address = `${host}:${this.server.address().port}`;
  }

  #handle({ req, url, body, res }) {
    if (this.silent) {
      if (body !== undefined) {
        this.record('order not answered', { path: url.pathname, ...body });
      }
      return;
    }
    if (url.pathname === '/-/machines') {
      reply(res, 200, { machines: this.machines, nextToken: '' });
      return;
    }
    const machine = this.machines.find((one) => one.machine === body.machine);
    this.record('order', {
      path: url.pathname,
      ...body,
      holder: req.headers['x-lease-holder'],
      fence: req.headers['x-fencing-token'],
    });
    if (machine === undefined) {
      reply(res, 400, {});
    } else if (url.pathname !== '/-/machine-upkeep') {
      // The pools of these installations are pools of other machines.
      reply(res, 400, {});
    } else if (machine.waves?.includes(body.wave) !== true) {
      reply(res, 409, { reason: 'wave' });
    } else if (machine.upkept?.includes(body.wave)) {
      reply(res, 200, {});
    } else if (machine.state !== 'up') {
      reply(res, 409, { reason: 'busy' });
    } else {
      machine.upkept = [...(machine.upkept ?? []), body.wave];
      this.onUpkeep(machine, body.wave);
      reply(res, 200, {});
    }
  }
}
