/** Source of random numbers, handed in so that decisions repeat for a seed. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  below(bound: number): number;
}
