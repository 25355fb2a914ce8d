package cli

import (
	"tillerusher/internal/capture"
	"tillerusher/internal/config"
)

// LoadOperator reads the operators' own settings from a file, where one is named. A capture directory on the command
// line takes the place of the one in the file.
func LoadOperator(file, captureDirectory string) (*config.OperatorConfig, error) {
	o := &config.OperatorConfig{}
	if file != "" {
		var err error
		if o, err = config.LoadOperatorConfig(file); err != nil {
			return nil, err
		}
	}
	if captureDirectory != "" {
		if o.Capture == nil {
			o.Capture = &config.CaptureConfig{Config: capture.DefaultConfig()}
		}
		o.Capture.Directory = captureDirectory
	}
	return o, nil
}
