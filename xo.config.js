/** Lint and format settings: XO's own rules, which `xo --fix` also applies as the formatter. */
const config = [
	{
		ignores: ['dist/**', 'reports/**', 'model/**', 'examples/*/settings/**', 'platform/generated-checks.js'],
	},
	{
		rules: {
			// Payloads arrive as `unknown`; each is narrowed once, after its ajv schema check or, from the project's stand-ins, without one.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// It requires a line break inside `{}` where unicorn/empty-brace-spaces forbids one.
			'@stylistic/curly-newline': 'off',
			// XO's naming rule, extended by the snake_case field names of wire formats and by upper-case environment variables.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['variable', 'function', 'classProperty', 'objectLiteralProperty', 'parameterProperty', 'classMethod', 'objectLiteralMethod', 'typeMethod', 'accessor'],
					format: ['strictCamelCase'],
					leadingUnderscore: 'allowSingleOrDouble',
					trailingUnderscore: 'allow',
					filter: {regex: String.raw`[- ]|^[a-z]+(?:_[a-z]+)+$|^[A-Z][A-Z\d]*(?:_[A-Z\d]+)+$`, match: false},
				},
				{selector: 'typeLike', format: ['StrictPascalCase']},
				{
					selector: 'variable', types: ['boolean'], format: ['StrictPascalCase'], prefix: ['is', 'has', 'can', 'should', 'will', 'did'],
				},
				{selector: 'interface', filter: '^(?!I)[A-Z]', format: ['StrictPascalCase']},
				{selector: 'typeParameter', filter: '^T$|^[A-Z][a-zA-Z]+$', format: ['StrictPascalCase']},
				{selector: ['classProperty', 'objectLiteralProperty'], format: null, modifiers: ['requiresQuotes']},
			],
		},
	},
	{
		// The OpenAI and engine wire formats carry `null` fields (`finish_reason`, `param`).
		files: ['src/protocol/openai.ts', 'src/protocol/engine-api.ts', 'src/transport/completion-routes.ts', 'src/standins/engine-batch.ts'],
		rules: {'unicorn/no-null': 'off'},
	},
];

export default config;
