/** Lint and format settings: XO's own rules, which `xo --fix` also applies as the formatter. */
const config = [
	{
		ignores: ['dist/**', 'reports/**', 'model/**', 'examples/*/settings/**', 'platform/generated-checks.js'],
	},
	{
		rules: {
			// Request payloads cross the boundary as `unknown`; each is narrowed once, after its ajv schema check or from our own stand-ins.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// It asks for a line break inside `{}` where unicorn/empty-brace-spaces forbids one; the latter wins.
			'@stylistic/curly-newline': 'off',
			// XO's own naming rule, plus the snake_case field names of the OpenAI wire format and upper-case environment variables.
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
