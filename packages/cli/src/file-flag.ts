import { Flags } from '@oclif/core';

/** The flag for a file of resources. */
export const fileFlag = Flags.string({
  char: 'f',
  required: true,
  description: 'YAML file, or - for standard input',
});
