export type TeamName = string;
export type QueueName = string;
export type PoolName = string;
export type UpstreamName = string;
export type InstanceName = string;
export type ZoneName = string;
export type PlanName = string;
/** Identifies an entry instance. */
export type MemberId = string;
/** Identifies one process run of a member; a restarted member has a new one. */
export type Incarnation = string;
/** Identifies a request within the entry that received it. */
export type RequestId = string;
export type TaskId = string;
/** Position in the configuration log, counted from 1; 0 is the empty configuration. */
export type Revision = number;

/** Urgency of a request or task. Lower classes are served after higher ones. */
export type WorkClass = 'urgent' | 'normal' | 'archive';

export const WORK_CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'archive'];
