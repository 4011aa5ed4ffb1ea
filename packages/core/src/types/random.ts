/** Source of random numbers, injected so that decisions are reproducible from a seed. */
export interface Random {
  /** Uniform in [0, 1). */
  next(): number;
  /** Uniform integer in [0, bound). */
  nextInt(bound: number): number;
}
