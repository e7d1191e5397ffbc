/** Lint and format settings: XO's own rules, which `xo --fix` also applies as the formatter. */
const config = [
	{
		ignores: ['dist/**', 'reports/**', 'model/**'],
	},
	{
		rules: {
			// Decisions take the present time as an argument, so `Date.now()` is read at the edges only.
			'unicorn/prevent-abbreviations': 'off',
		},
	},
];

export default config;
