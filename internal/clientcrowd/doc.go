// Package clientcrowd holds tests only: crowds of misbehaving clients against the program's
// own entries, each in a process of its own.
package clientcrowd
