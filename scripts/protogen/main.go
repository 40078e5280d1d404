// Protogen writes the Go code of the project's .proto files. It compiles them itself and
// runs the plugins of protobuf and connect, so that no compiler has to be installed.
//
// Usage: protogen PROTO_DIR OUT_DIR MODULE PLUGIN...
package main

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const minArgs = 5

func main() {
	if len(os.Args) < minArgs {
		fmt.Fprintln(os.Stderr, "usage: protogen PROTO_DIR OUT_DIR MODULE PLUGIN...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2], os.Args[3], os.Args[4:]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func generate(dir, out, module string, plugins []string) error {
	names, err := sources(dir)
	if err != nil {
		return err
	}
	files, err := compile(dir, names)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		req := &pluginpb.CodeGeneratorRequest{
			FileToGenerate: names,
			Parameter:      proto.String("module=" + module),
			ProtoFile:      files,
		}
		if err := run(plugin, req, out); err != nil {
			return errors.Wrap(err, plugin)
		}
	}
	return nil
}

// sources lists the .proto files under a directory.
func sources(dir string) (names []string, err error) {
	err = fs.WalkDir(os.DirFS(dir), ".", func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".proto") {
			names = append(names, path)
		}
		return err
	})
	return names, errors.Wrap(err, "sources")
}

func compile(dir string, names []string) ([]*descriptorpb.FileDescriptorProto, error) {
	c := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{dir}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := c.Compile(context.Background(), names...)
	if err != nil {
		return nil, errors.Wrap(err, "compile")
	}
	var out []*descriptorpb.FileDescriptorProto
	for _, f := range compiled {
		out = append(out, protoutil.ProtoFromFileDescriptor(f))
	}
	return out, nil
}

// run gives a plugin its request and writes the files that it answers with.
func run(plugin string, req *pluginpb.CodeGeneratorRequest, out string) error {
	in, err := proto.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	cmd := exec.Command(plugin)
	cmd.Stdin = bytes.NewReader(in)
	cmd.Stderr = os.Stderr
	data, err := cmd.Output()
	if err != nil {
		return errors.Wrap(err, "run")
	}
	var resp pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(data, &resp); err != nil {
		return errors.Wrap(err, "answer")
	}
	if resp.Error != nil {
		return errors.New(resp.GetError())
	}
	for _, f := range resp.GetFile() {
		path := filepath.Join(out, f.GetName())
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return errors.Wrap(err, "directory")
		}
		if err := os.WriteFile(path, []byte(f.GetContent()), 0o644); err != nil {
			return errors.Wrap(err, "write")
		}
	}
	return nil
}
