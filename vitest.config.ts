import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['src/**/__tests__/**/*.test.ts', 'platform/__tests__/**/*.test.ts', 'soak/__tests__/**/*.test.ts'],
		globalSetup: ['scripts/test-setup.mjs'],
		testTimeout: 60_000,
		hookTimeout: 60_000,
		fileParallelism: false,
	},
});
