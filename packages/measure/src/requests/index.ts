export { type ChooserRow, measureChoosers } from './choosers.js';
export { type DecisionTimeRow, measureDecisionTime } from './decision-time.js';
export { type ShareRow, measureShares } from './shares.js';
