import {defineConfig} from 'vitest/config';

/** Test settings. Test files run one at a time, as they bind fixed loopback ports. */
export default defineConfig({
	test: {
		include: ['src/**/__tests__/**/*.test.ts', 'platform/__tests__/**/*.test.ts', 'soak/__tests__/**/*.test.ts'],
		globalSetup: ['scripts/test-setup.mjs'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		fileParallelism: false,
	},
});
