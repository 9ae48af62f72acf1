/** What all components of a controller share: the time, the settings, the timers, the outbox and the clients. */
import { CloudClient } from './clients/cloud_client.js';
import { CommandPushClient } from './clients/command_push_client.js';
import { StateStoreClient } from './clients/state_store_client.js';
import { ALL_OFF, type Features } from './features.js';
import { LeadershipValidity } from './leadership_validity.js';
import type { FieldsOf, LogEvent } from './log_events.js';
import type { Output } from './messages.js';
import { Outbox } from './outbox.js';
import type { Settings, Tuning } from './settings.js';
import { StepClock } from './step_clock.js';
import { Timers } from './timers.js';
import type { ClockReading, MonotonicTime } from './types.js';

/** The shared context of one controller. The controller calls it at the beginning and the end of each step. */
export class StepContext {
  readonly timers = new Timers();
  readonly leadership = new LeadershipValidity();
  readonly outbox: Outbox;
  readonly stateStore: StateStoreClient;
  readonly cloud: CloudClient;
  readonly commandPushes: CommandPushClient;
  private readonly clock: StepClock;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    start: ClockReading,
    readonly features: Features = ALL_OFF,
  ) {
    const { timers, leadership } = this;
    const clock = new StepClock(start);
    const outbox = new Outbox(clock, leadership);
    this.clock = clock;
    this.outbox = outbox;
    this.stateStore = new StateStoreClient(settings.stateStore, settings.controllerCount, clock, outbox, timers);
    this.cloud = new CloudClient(settings.cloud, clock, outbox, leadership, timers);
    this.commandPushes = new CommandPushClient(outbox, leadership);
  }

  /** The time at which the step began. */
  get now(): ClockReading {
    return this.clock.now;
  }

  /** Returns the time `ms` milliseconds after the beginning of the step. */
  after(ms: number): MonotonicTime {
    return this.clock.after(ms);
  }

  /** Begins a step at the time `now`. */
  beginStep(now: ClockReading): void {
    this.clock.advance(now);
  }

  /** Dispatches queued calls as far as the rate limits allow, and returns all outputs of the step. */
  endStep(): Output[] {
    this.stateStore.dispatch();
    this.cloud.dispatch();
    return this.outbox.takeAll();
  }

  /** Sets whether this controller acts as the leader. */
  setIsLeader(isLeader: boolean): void {
    this.leadership.isLeader = isLeader;
    this.stateStore.setIsLeader(isLeader);
  }

  /** Logs an event of the catalogue at the event's level. */
  log<Event extends LogEvent>(event: Event, fields: FieldsOf<Event>): void {
    this.outbox.log(event, fields);
  }
}
