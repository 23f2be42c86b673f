// Package health weighs backend servers by what calls met at them lately.
package health
