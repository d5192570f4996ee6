//go:build tools

// Package lint pins the version of the linter. Its module keeps the dependencies apart from those
// of the product.
package lint

import _ "github.com/golangci/golangci-lint/v2/cmd/golangci-lint"
