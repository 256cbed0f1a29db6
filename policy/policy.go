package policy

import (
	"fmt"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/checker"
	"cel.dev/cel-go/common/types"
	"cel.dev/cel-go/common/types/ref"
	"github.com/pkg/errors"
	"github.com/willowwick/willowwick"
)

const (
	// CostLimit bounds one expression, in CEL cost units.
	CostLimit = 10_000
	// MaxRules bounds the rules of one policy.
	MaxRules = 64

	maxInputTextLength = 256
)

// Names of the variables available to expressions.
const (
	varAccount      = "account"
	varClass        = "class"
	varTarget       = "target"
	varPromptTokens = "prompt_tokens"
	varMaxTokens    = "max_tokens"
	varStream       = "stream"
	varSession      = "session"
	varSecondsLeft  = "seconds_left"
)

type (
	// Spec is a policy as declared.
	Spec struct {
		Let   []Binding `json:"let,omitempty" yaml:"let"`
		Rules []Rule    `json:"rules" yaml:"rules"`
	}

	// Binding names the value of an expression for the later bindings and the rules.
	Binding struct {
		Name  string `json:"name" yaml:"name"`
		Value string `json:"value" yaml:"value"`
	}

	// Rule applies its action to the requests that match its condition.
	Rule struct {
		Name string `json:"name,omitempty" yaml:"name"`
		When string `json:"when" yaml:"when"`
		Then Action `json:"then" yaml:"then"`
	}

	// Action is what happens to a request; exactly one of Cascade, Model and Deny is set.
	Action struct {
		Cascade willowwick.CascadeID   `json:"cascade,omitempty" yaml:"cascade"`
		Model   willowwick.ModelID     `json:"model,omitempty" yaml:"model"`
		Deny    string                 `json:"deny,omitempty" yaml:"deny"`
		Exclude []willowwick.VersionID `json:"exclude,omitempty" yaml:"exclude"`
	}

	// Input holds the properties of a request that a policy can use.
	Input struct {
		Account      willowwick.AccountID
		Class        willowwick.Class
		Target       string
		PromptTokens willowwick.Tokens
		MaxTokens    willowwick.Tokens
		Stream       bool
		Session      bool
		SecondsLeft  float64
	}

	// Decision is the action of the first matching rule.
	Decision struct {
		Action
		Rule    string
		Matched bool
	}

	// Problem is an error in a policy, with the path of its field.
	Problem struct {
		Path    string
		Message string
	}

	// Program is a compiled policy; it is safe for concurrent use.
	Program struct {
		bindings []compiledBinding
		rules    []compiledRule
	}

	compiledBinding struct {
		name    string
		program cel.Program
	}

	compiledRule struct {
		rule    Rule
		program cel.Program
	}

	sizeEstimator struct{}

	compiler struct {
		env      *cel.Env
		problems []Problem
	}
)

// Compile checks and compiles a policy; it returns every problem found.
func Compile(spec Spec) (*Program, []Problem) {
	c := &compiler{}
	env, err := cel.NewEnv(
		cel.Variable(varAccount, cel.StringType),
		cel.Variable(varClass, cel.StringType),
		cel.Variable(varTarget, cel.StringType),
		cel.Variable(varPromptTokens, cel.IntType),
		cel.Variable(varMaxTokens, cel.IntType),
		cel.Variable(varStream, cel.BoolType),
		cel.Variable(varSession, cel.BoolType),
		cel.Variable(varSecondsLeft, cel.DoubleType),
	)
	if err != nil {
		return nil, []Problem{{Path: "rules", Message: err.Error()}}
	}
	c.env = env
	program := &Program{}
	if len(spec.Rules) == 0 {
		c.addProblem("rules", "a policy needs at least one rule")
	}
	if len(spec.Rules) > MaxRules {
		c.addProblem("rules", "a policy has at most %d rules, this one has %d", MaxRules, len(spec.Rules))
	}
	for i, b := range spec.Let {
		if compiled, ok := c.compileBinding(fmt.Sprintf("let[%d]", i), b); ok {
			program.bindings = append(program.bindings, compiled)
		}
	}
	for i, r := range spec.Rules {
		path := fmt.Sprintf("rules[%d]", i)
		c.checkAction(path+".then", r.Then)
		compiled, _, ok := c.compileExpression(path+".when", r.When, cel.BoolType)
		if ok {
			program.rules = append(program.rules, compiledRule{rule: r, program: compiled})
		}
	}
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	return program, nil
}

func (c *compiler) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *compiler) compileBinding(path string, b Binding) (compiledBinding, bool) {
	program, kind, ok := c.compileExpression(path+".value", b.Value, nil)
	if !ok {
		return compiledBinding{}, false
	}
	env, err := c.env.Extend(cel.Variable(b.Name, kind))
	if err != nil {
		c.addProblem(path+".name", "%q cannot be used as a name: %v", b.Name, err)
		return compiledBinding{}, false
	}
	c.env = env
	return compiledBinding{name: b.Name, program: program}, true
}

func (c *compiler) checkAction(path string, a Action) {
	set := 0
	for _, given := range []bool{a.Cascade != "", a.Model != "", a.Deny != ""} {
		if given {
			set++
		}
	}
	if set != 1 {
		c.addProblem(path, "set exactly one of cascade, model and deny")
	}
}

func (c *compiler) compileExpression(path, text string, want *cel.Type) (cel.Program, *cel.Type, bool) {
	ast, issues := c.env.Compile(text)
	if issues.Err() != nil {
		c.addProblem(path, "%v", issues.Err())
		return nil, nil, false
	}
	if want != nil && !ast.OutputType().IsExactType(want) {
		c.addProblem(path, "must be of type %s, is %s", want, ast.OutputType())
		return nil, nil, false
	}
	cost, err := c.env.EstimateCost(ast, sizeEstimator{})
	if err != nil {
		c.addProblem(path, "cost cannot be bounded: %v", err)
		return nil, nil, false
	}
	if cost.Max > CostLimit {
		c.addProblem(path, "may cost %d units, the limit is %d", cost.Max, CostLimit)
		return nil, nil, false
	}
	program, err := c.env.Program(ast, cel.CostLimit(CostLimit), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		c.addProblem(path, "%v", err)
		return nil, nil, false
	}
	return program, ast.OutputType(), true
}

// EstimateSize implements checker.CostEstimator with the length limit of a request's strings.
func (sizeEstimator) EstimateSize(element checker.AstNode) *checker.SizeEstimate {
	if element.Type().Kind() == types.StringKind {
		return &checker.SizeEstimate{Min: 0, Max: maxInputTextLength}
	}
	return nil
}

// EstimateCallCost implements checker.CostEstimator with the default costs of CEL.
func (sizeEstimator) EstimateCallCost(string, string, *checker.AstNode, []checker.AstNode) *checker.CallEstimate {
	return nil
}

// Evaluate returns the decision of the first matching rule; it is zero if none matches.
func (p *Program) Evaluate(in Input) (Decision, error) {
	vars := map[string]any{
		varAccount:      string(in.Account),
		varClass:        string(in.Class),
		varTarget:       in.Target,
		varPromptTokens: int64(in.PromptTokens),
		varMaxTokens:    int64(in.MaxTokens),
		varStream:       in.Stream,
		varSession:      in.Session,
		varSecondsLeft:  in.SecondsLeft,
	}
	for _, b := range p.bindings {
		value, err := evaluate(b.program, vars)
		if err != nil {
			return Decision{}, errors.Wrapf(err, "let %s", b.name)
		}
		vars[b.name] = value
	}
	for _, r := range p.rules {
		value, err := evaluate(r.program, vars)
		if err != nil {
			return Decision{}, errors.Wrapf(err, "rule %s", r.rule.Name)
		}
		if value == types.True {
			return Decision{Action: r.rule.Then, Rule: r.rule.Name, Matched: true}, nil
		}
	}
	return Decision{}, nil
}

func evaluate(program cel.Program, vars map[string]any) (ref.Val, error) {
	value, _, err := program.Eval(vars)
	return value, err
}
